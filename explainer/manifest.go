package explainer

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"time"

	"pimentorelay.example/pimento"
)

// ManifestReport is what the logs contain about one version of the manifest.
type ManifestReport struct {
	Version uint64
	// Steps are the lines about the version, in order: how it was read, sent, put
	// in force and first used.
	Steps []Line
	// InForce holds the time at which each process put it in force.
	InForce map[pimento.ProcessID]time.Time
	// Without are the processes that wrote lines after it was first in force
	// somewhere, but neither put it in force nor a newer one, sorted.
	Without []pimento.ProcessID
	// Newer are the processes that put a newer version in force and never this one,
	// sorted.
	Newer []pimento.ProcessID
}

// ExplainManifest returns what the logs contain about a version of the manifest,
// and false if nothing.
func (l *Log) ExplainManifest(version uint64) (ManifestReport, bool) {
	r := ManifestReport{Version: version, InForce: make(map[pimento.ProcessID]time.Time)}
	latest := make(map[pimento.ProcessID]uint64)
	lastLine := make(map[pimento.ProcessID]time.Time)
	for _, x := range l.lines {
		if x.At.After(lastLine[x.Process]) {
			lastLine[x.Process] = x.At
		}
		v, ok := manifestVersion(x)
		if !ok {
			continue
		}
		if v == version {
			r.Steps = append(r.Steps, x)
		}
		if x.Number == pimento.EventManifestAdopted {
			latest[x.Process] = max(latest[x.Process], v)
			if v == version {
				r.InForce[x.Process] = x.At
			}
		}
	}
	if len(r.Steps) == 0 {
		return r, false
	}
	sortByTime(r.Steps)
	for id, at := range lastLine {
		_, has := r.InForce[id]
		switch {
		case has || at.Before(r.Steps[0].At):
		case latest[id] > version:
			r.Newer = append(r.Newer, id)
		default:
			r.Without = append(r.Without, id)
		}
	}
	slices.Sort(r.Without)
	slices.Sort(r.Newer)
	return r, true
}

// manifestVersion returns the version of the manifest that a line is about, and
// false if it is not about one.
func manifestVersion(x Line) (uint64, bool) {
	field := "Version"
	switch x.Number {
	case pimento.EventStateNotTaken:
		field = "Manifest"
	case pimento.EventManifestAdopted, pimento.EventManifestSpread, pimento.EventManifestMissing, pimento.EventManifestUsed:
	default:
		return 0, false
	}
	v, err := strconv.ParseUint(x.Fields[field], 10, 64)
	return v, err == nil && v > 0
}

// Write prints the report as text. Times count from the first line about the
// version.
func (r *ManifestReport) Write(w io.Writer) {
	first := r.Steps[0].At
	fmt.Fprintf(w, "manifest %d, first seen %s\n\nwhat happened\n", r.Version, first.Format("15:04:05.000000"))
	for _, x := range r.Steps {
		fmt.Fprintf(w, "  %8s  %s  %d %s\n", "+"+x.At.Sub(first).Round(time.Millisecond).String(), x.Process, x.Number, x.Number)
		writeFields(w, x.Fields)
	}
	fmt.Fprintf(w, "\nin force in %d processes", len(r.InForce))
	if times := slices.SortedFunc(maps.Values(r.InForce), time.Time.Compare); len(times) > 0 {
		fmt.Fprintf(w, ", half of them after %s, all after %s", times[len(times)/2].Sub(first).Round(time.Millisecond), times[len(times)-1].Sub(first).Round(time.Millisecond))
	}
	fmt.Fprintf(w, "\nskipped for a newer one: %d\n", len(r.Newer))
	fmt.Fprintf(w, "neither this nor a newer one: %d\n", len(r.Without))
	for _, id := range r.Without {
		fmt.Fprintf(w, "  %s\n", id)
	}
}
