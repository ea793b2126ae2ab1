package leader

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"pimentorelay.example/pimento"
	"pimentorelay.example/pimento/messenger"
)

const (
	// manifestLateAfter is the time after which members that lack a manifest are
	// reported.
	manifestLateAfter = time.Second
	// maxNamedMembers bounds the members that one report names.
	maxNamedMembers = 8
)

// spread follows one version of the manifest to the members, for the log.
type spread struct {
	version      uint64
	since        time.Time // when this process first had it as the leader
	complete     bool      // reported as in force at all members
	reportedLate bool
}

// reportSpread reports once that all members that answer have the manifest, if a read of
// the store in this term has shown no newer one, and once which ones still lack it after
// manifestLateAfter.
func (l *Leader) reportSpread(now time.Time) {
	s := &l.term.spread
	if v := l.term.versions.Manifest; v != s.version {
		*s = spread{version: v, since: now}
	}
	if s.version == 0 || s.complete {
		return
	}
	after := now.Sub(s.since)
	lacking, silent := l.countLacking(now, s.version)
	switch {
	case lacking == 0:
		if !l.hasRead(s.version) {
			return
		}
		s.complete = true
		l.Events.Emit(pimento.EventManifestSpread, "Version", s.version, "Members", len(l.term.members), "Silent", silent, "Took", after.Round(time.Millisecond),
			"Read", pimento.Age(now, l.Member.ManifestReadAt()), "Confirmed", pimento.Age(now, l.Member.ManifestRead().BeganAt))
	case after > manifestLateAfter && !s.reportedLate:
		s.reportedLate = true
		named := l.membersLacking(now, s.version)
		named = named[:min(len(named), maxNamedMembers)]
		l.Events.Emit(pimento.EventManifestMissing, "Version", s.version, "Count", lacking, "Silent", silent, "Lacking", strings.Join(named, "; "))
	}
}

// hasRead reports whether a read of the manifest in this term has shown that a version
// was the newest.
func (l *Leader) hasRead(version uint64) bool {
	read := l.Member.ManifestRead()
	return read.Version == version && !read.BeganAt.Before(l.term.beganAt)
}

// countLacking counts the members that answer and are not known to have a version of the
// manifest, and those that do not answer.
func (l *Leader) countLacking(now time.Time, version uint64) (lacking, silent int) {
	for _, m := range l.term.members {
		switch {
		case m.silent(now):
			silent++
		case m.versions.Manifest < version:
			lacking++
		}
	}
	return lacking, silent
}

// membersLacking describes the members that countLacking counts as lacking, sorted.
func (l *Leader) membersLacking(now time.Time, version uint64) []string {
	var out []string
	for id, m := range l.term.members {
		switch {
		case m.silent(now) || m.versions.Manifest >= version:
		case m.pushing:
			out = append(out, fmt.Sprintf("%s has %d, a state is on its way", id, m.versions.Manifest))
		default:
			out = append(out, fmt.Sprintf("%s has %d, missed %d heartbeats", id, m.versions.Manifest, m.missedHeartbeats))
		}
	}
	slices.Sort(out)
	return out
}

// observeState reports the end of the sending of a state to a member.
func (l *Leader) observeState(m *member, state *messenger.State, took time.Duration, err error) {
	if l.OnStateSent != nil {
		l.OnStateSent(len(state.Manifest), took, err)
	}
	if err == nil || errors.Is(err, context.Canceled) { // canceled: the term has ended
		return
	}
	manifest := uint64(0)
	if state.Manifest != nil {
		manifest = state.Versions.Manifest
	}
	l.Events.Emit(pimento.EventStateNotTaken, "Member", m.process.ID, "Manifest", manifest, "Bytes", len(state.Manifest), "Took", took.Round(time.Millisecond), "Cause", err)
}
