// Package explainer reports from the logs of any number of processes what
// happened to one request, and what the processes involved knew at the time, or
// how one version of the manifest came into force.
//
// It reads the JSON lines that package recorder writes, with or without a prefix.
// The logs may be in any order, in one stream or several.
//
// # Usage
//
//	var l explainer.Log
//	if err := l.Read(file); err != nil { ... }
//	report, ok := l.Explain("9c41d07be2a35f68")
//	report.Write(os.Stdout)
//	manifest, ok := l.ExplainManifest(12)
package explainer

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"pimentorelay.example/pimento"
)

const (
	// maxLineBytes is the longest line that is read.
	maxLineBytes = 1 << 20
	// stateWindow is the greatest age of known state at the end of a request.
	stateWindow = 60 * time.Second
)

// Line is one event of a log.
type Line struct {
	At      time.Time
	Process pimento.ProcessID
	Number  pimento.EventNumber
	Request string
	Fields  map[string]string // the other attributes
}

// Log holds the events of the logs that were read.
type Log struct {
	lines   []Line
	Skipped int // lines that are not events
}

// Read adds the events of a log.
func (l *Log) Read(r io.Reader) error {
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLineBytes)
	for s.Scan() {
		line, ok := parseLine(s.Bytes())
		if !ok {
			l.Skipped++
			continue
		}
		l.lines = append(l.lines, line)
	}
	if err := s.Err(); err != nil {
		return fmt.Errorf("Log.Read: %w", err)
	}
	return nil
}

// parseLine reads one line, whose JSON may follow a prefix.
func parseLine(text []byte) (Line, bool) {
	i := bytes.IndexByte(text, '{')
	if i < 0 {
		return Line{}, false
	}
	var head struct {
		At      time.Time `json:"@timestamp"`
		Process pimento.ProcessID
		Event   pimento.EventNumber
		Request string
	}
	fields := make(map[string]any)
	if json.Unmarshal(text[i:], &head) != nil || json.Unmarshal(text[i:], &fields) != nil || head.Event == 0 {
		return Line{}, false
	}
	line := Line{At: head.At, Process: head.Process, Number: head.Event, Request: head.Request, Fields: make(map[string]string)}
	for name, value := range fields {
		if !strings.HasPrefix(name, "@") && name != "Process" && name != "Event" && name != "Request" {
			line.Fields[name] = fmt.Sprint(value)
		}
	}
	return line, true
}

// Report is what the logs contain about a request.
type Report struct {
	Request string
	// Steps are the lines about the request, in order.
	Steps []Line
	// KnownState are the latest lines, before the end of the request, about the
	// processes, upstreams and keys that it involved, in order.
	KnownState []Line
}

// Explain returns what the logs contain about a request, and false if nothing.
func (l *Log) Explain(id string) (Report, bool) {
	r := Report{Request: id}
	for _, x := range l.lines {
		if x.Request == id {
			r.Steps = append(r.Steps, x)
		}
	}
	if len(r.Steps) == 0 {
		return r, false
	}
	sortByTime(r.Steps)
	r.KnownState = l.knownState(r.Steps)
	return r, true
}

func sortByTime(lines []Line) {
	slices.SortStableFunc(lines, func(a, b Line) int { return a.At.Compare(b.At) })
}

// knownState returns the latest line about each subject that the request involved.
func (l *Log) knownState(steps []Line) []Line {
	end := steps[len(steps)-1].At
	latest := make(map[string]Line)
	for _, x := range l.lines {
		subject, ok := subjectOf(x, steps)
		if !ok || x.At.After(end) || end.Sub(x.At) > stateWindow {
			continue
		}
		if old, known := latest[subject]; !known || x.At.After(old.At) {
			latest[subject] = x
		}
	}
	out := slices.Collect(maps.Values(latest))
	sortByTime(out)
	return out
}

// stateSubjects maps events to a subject. The latest event of a subject gives its
// known state.
var stateSubjects = map[pimento.EventNumber]string{
	pimento.EventManifestAdopted: "manifest",
	pimento.EventStoreLost:       "platform", pimento.EventStoreRecovered: "platform", pimento.EventStoreRestored: "era",
	pimento.EventLeading: "leader", pimento.EventLeadingEnded: "leader", pimento.EventTermAdopted: "term",
	pimento.EventUpstreamLost: "upstream", pimento.EventUpstreamBack: "upstream", pimento.EventGrantFailed: "grant",
	pimento.EventLimitNamed: "limit", pimento.EventLimitEnded: "limit", pimento.EventLimitInvalid: "limit",
	pimento.EventLeavingNamed: "leaving", pimento.EventPauseNamed: "pause", pimento.EventPauseEnded: "pause", pimento.EventPauseInvalid: "pause",
	pimento.EventQuotaExhausted: "quota", pimento.EventQuotaRegained: "quota", pimento.EventAPIKeyAdded: "API key", pimento.EventAPIKeyRemoved: "API key",
	pimento.EventReleased: "release", pimento.EventKeysMoved: "keys",
	pimento.EventProcessStopping: "process", pimento.EventProcessStarted: "process", pimento.EventSettingsChanged: "settings",
}

// subjectOf returns the subject of a line, if it involves the request: the leader,
// a process or upstream that handled the request, or the request's key.
func subjectOf(x Line, steps []Line) (string, bool) {
	subject, ok := stateSubjects[x.Number]
	if !ok {
		return "", false
	}
	for _, step := range steps {
		attempts := step.Fields["Tries"] + " " + step.Fields["By"] + " " + step.Fields["Detail"]
		involved := x.Process == step.Process || containsName(attempts, string(x.Process))
		switch subject {
		case "upstream", "grant", "release", "limit", "leaving", "pause":
			coversKey := x.Fields["Service"] == step.Fields["Service"] && rangeContains(x.Fields["Keys"], step.Fields["Key"])
			if coversKey || containsName(attempts, x.Fields["Upstream"]) {
				return subject + " " + x.Fields["Upstream"], true
			}
		case "quota":
			if x.Fields["Customer"] != "" && x.Fields["Customer"] == step.Fields["Customer"] {
				return subject + " " + x.Fields["Customer"], true
			}
		case "API key":
			if x.Fields["APIKey"] != "" && x.Fields["APIKey"] == step.Fields["APIKey"] {
				return subject + " " + x.Fields["APIKey"], true
			}
		case "keys":
			if movesKey(x.Fields["Moves"], step.Fields["Service"], step.Fields["Key"]) {
				return subject, true
			}
		case "leader", "era":
			return subject, true
		default:
			if involved {
				return subject + " " + string(x.Process), true
			}
		}
	}
	return "", false
}

// containsName reports whether a text contains a name as a whole word.
func containsName(text, name string) bool {
	return slices.Contains(strings.FieldsFunc(text, func(r rune) bool { return strings.ContainsRune(" ,;()", r) }), name)
}

// rangeContains reports whether a range such as "16-31" contains a key.
func rangeContains(span, key string) bool {
	var from, to, k int
	if n, err := fmt.Sscanf(span, "%d-%d", &from, &to); err != nil || n != 2 {
		return false
	}
	if _, err := fmt.Sscanf(key, "%d", &k); err != nil {
		return false
	}
	return from <= k && k <= to
}

// movesKey reports whether one of the moves concerns a key of a service.
func movesKey(moves, service, key string) bool {
	for move := range strings.SplitSeq(moves, "; ") {
		name, rest, _ := strings.Cut(move, " ")
		span, _, _ := strings.Cut(rest, " ")
		if name == service && rangeContains(span, key) {
			return true
		}
	}
	return false
}

// Write prints the report as text.
func (r *Report) Write(w io.Writer) {
	last := r.Steps[len(r.Steps)-1]
	fmt.Fprintf(w, "request %s\n\nwhat happened\n", r.Request)
	for _, x := range r.Steps {
		fmt.Fprintf(w, "  %s  %s  %d %s\n", x.At.Format("15:04:05.000000"), x.Process, x.Number, x.Number)
		writeFields(w, x.Fields)
	}
	fmt.Fprintf(w, "\nwhat was believed, and for how long at its end\n")
	for _, x := range r.KnownState {
		fmt.Fprintf(w, "  %8s  %s  %d %s\n", last.At.Sub(x.At).Round(time.Millisecond), x.Process, x.Number, x.Number)
		writeFields(w, x.Fields)
	}
	if len(r.KnownState) == 0 {
		fmt.Fprintln(w, "  the logs have no related events")
	}
}

func writeFields(w io.Writer, fields map[string]string) {
	for _, name := range slices.Sorted(maps.Keys(fields)) {
		fmt.Fprintf(w, "            %s: %s\n", name, strings.ReplaceAll(fields[name], "; ", "\n              "))
	}
}
