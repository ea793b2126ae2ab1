// Package avoider keeps the book of the upstreams to which this process may send no
// requests, because their answers have said so: that they leave, or that they want
// nothing from this process for a while. It is a pure state machine.
//
// Both end when the upstream starts anew. An answer names no run, so what it says
// counts for every run that had started before the request was written; that an entry
// of the store shows a new run late does not end it.
//
// Times are those of package timekeeper, which runs on during a suspension.
//
// # Usage
//
//	b := &avoider.Book{LeavingDelay: time.Second}
//	changes := b.Observe(now, run, avoider.Notice{WrittenAt: written, Leaving: true})
//	if bar, barred := b.Bar(now, run); barred { ... }
//	changes = b.Retain(now, runs)
package avoider

import (
	"cmp"
	"slices"
	"time"

	"pimentorelay.example/pimento"
)

const (
	// clockTolerance is by how much a pause is lengthened, as a part of it, since the
	// clock of its upstream may run slower.
	clockTolerance = 0.02
	// forgetAfter is how long an upstream that is not registered is kept.
	forgetAfter = 10 * time.Minute
	// maxEntries bounds the upstreams in the book.
	maxEntries = 4096
)

// Notice is what an answer says about its upstream.
type Notice struct {
	// WrittenAt is when the request to which the answer came was about to be written.
	WrittenAt time.Time
	Leaving   bool
	Pause     pimento.PauseNotice
}

// IsEmpty reports whether the answer says nothing.
func (n Notice) IsEmpty() bool { return !n.Leaving && n.Pause == pimento.PauseNotice{} }

// Bar says that nothing may be sent to a run.
type Bar struct {
	Run   pimento.Run
	Until time.Time // zero: until the upstream starts anew
}

// ChangeKind says what has changed.
type ChangeKind string

// The kinds of changes.
const (
	ChangeLeaving ChangeKind = "Leaving"    // the upstream leaves
	ChangePaused  ChangeKind = "Paused"     // it wants nothing until Until
	ChangeEnded   ChangeKind = "PauseEnded" // its pause has ended
	ChangeInvalid ChangeKind = "Invalid"    // it names a pause that is not valid
)

// Change is a change of the book.
type Change struct {
	Kind    ChangeKind
	Run     pimento.Run
	Until   time.Time
	Invalid string
}

// entry is what is known of one upstream.
type entry struct {
	run         pimento.Run // the latest to which it applies
	writtenAt   time.Time   // latest of its notices
	keptUntil   time.Time   // unless it is registered
	leaving     bool
	stopAt      time.Time // from then on, nothing is sent to a leaving run
	pausedUntil time.Time
	invalid     string
}

// appliesTo reports whether the answers that the entry is from may have come from a run.
func (e *entry) appliesTo(run pimento.Run) bool {
	return sameStart(e.run, run) || !run.Started.After(e.writtenAt)
}

// sameStart compares the starts of two runs of an upstream. They are passed between
// processes in milliseconds.
func sameStart(a, b pimento.Run) bool { return a.Started.UnixMilli() == b.Started.UnixMilli() }

// Book holds what answers have said. Set LeavingDelay before use. It is not safe for
// concurrent use.
type Book struct {
	// LeavingDelay is how long after the first answer that says so a leaving upstream
	// may still get requests.
	LeavingDelay time.Duration

	entries map[pimento.UpstreamName]*entry
}

// Observe records what an answer of a run says, and returns what has changed.
func (b *Book) Observe(now time.Time, run pimento.Run, n Notice) []Change {
	if n.IsEmpty() {
		return nil
	}
	e := b.entry(run, n.WrittenAt)
	if e == nil {
		return nil
	}
	e.writtenAt = later(e.writtenAt, n.WrittenAt)
	e.keptUntil = now.Add(forgetAfter)
	var changes []Change
	if n.Leaving && !e.leaving {
		e.leaving, e.stopAt = true, now.Add(b.LeavingDelay)
		changes = append(changes, Change{Kind: ChangeLeaving, Run: e.run})
	}
	if n.Pause.Invalid != "" && n.Pause.Invalid != e.invalid {
		e.invalid = n.Pause.Invalid
		changes = append(changes, Change{Kind: ChangeInvalid, Run: e.run, Invalid: e.invalid})
	}
	if n.Pause.Named && n.Pause.For > 0 {
		changes = append(changes, e.pause(now, n.Pause.For)...)
	}
	return changes
}

// entry returns the entry for an answer of a run to a request that was written then, a new
// one if there is none. It is nil for an answer of a run that has ended.
func (b *Book) entry(run pimento.Run, writtenAt time.Time) *entry {
	if b.entries == nil {
		b.entries = make(map[pimento.UpstreamName]*entry)
	}
	e, ok := b.entries[run.Upstream]
	if ok && !sameStart(e.run, run) && writtenAt.Before(e.run.Started) {
		return nil
	}
	if ok && (e.appliesTo(run) || run.Started.Before(e.run.Started)) {
		if run.Started.After(e.run.Started) {
			e.run = run
		}
		return e
	}
	if !ok && len(b.entries) >= maxEntries {
		b.dropOldest()
	}
	e = &entry{run: run}
	b.entries[run.Upstream] = e
	return e
}

// dropOldest removes the entry that was heard of longest ago.
func (b *Book) dropOldest() {
	var oldest *entry
	for _, e := range b.entries {
		if oldest == nil || e.keptUntil.Before(oldest.keptUntil) {
			oldest = e
		}
	}
	delete(b.entries, oldest.run.Upstream)
}

// pause lengthens the pause to a time from now, if that is later.
func (e *entry) pause(now time.Time, named time.Duration) []Change {
	until := now.Add(named + time.Duration(float64(named)*clockTolerance))
	if !until.After(e.pausedUntil) {
		return nil
	}
	begins := !now.Before(e.pausedUntil)
	e.pausedUntil = until
	if !begins {
		return nil
	}
	return []Change{{Kind: ChangePaused, Run: e.run, Until: until}}
}

// Bar returns the bar of a run, false if requests may be sent to it.
func (b *Book) Bar(now time.Time, run pimento.Run) (Bar, bool) {
	e, ok := b.entries[run.Upstream]
	if !ok || !e.appliesTo(run) {
		return Bar{}, false
	}
	return e.bar(now)
}

func (e *entry) bar(now time.Time) (Bar, bool) {
	switch {
	case e.leaving && !now.Before(e.stopAt):
		return Bar{Run: e.run}, true
	case now.Before(e.pausedUntil):
		return Bar{Run: e.run, Until: e.pausedUntil}, true
	}
	return Bar{}, false
}

// Bars returns all bars in force, sorted by upstream.
func (b *Book) Bars(now time.Time) []Bar {
	var out []Bar
	for _, e := range b.entries {
		if bar, barred := e.bar(now); barred {
			out = append(out, bar)
		}
	}
	slices.SortFunc(out, func(a, b Bar) int { return cmp.Compare(a.Run.Upstream, b.Run.Upstream) })
	return out
}

// IsLeaving reports whether a run has said that it leaves.
func (b *Book) IsLeaving(run pimento.Run) bool {
	e, ok := b.entries[run.Upstream]
	return ok && e.leaving && e.appliesTo(run)
}

// PausedUntil returns the end of the pause of a run; zero: none is in force.
func (b *Book) PausedUntil(now time.Time, run pimento.Run) time.Time {
	e, ok := b.entries[run.Upstream]
	if !ok || !e.appliesTo(run) || !now.Before(e.pausedUntil) {
		return time.Time{}
	}
	return e.pausedUntil
}

// Retain drops the upstreams that have started anew, and those that have not been
// registered for long. runs are the registered ones.
func (b *Book) Retain(now time.Time, runs []pimento.Run) []Change {
	var changes []Change
	for _, run := range runs {
		e, ok := b.entries[run.Upstream]
		switch {
		case !ok:
		case e.appliesTo(run):
			e.keptUntil = now.Add(forgetAfter)
			if run.Started.After(e.run.Started) {
				e.run = run
			}
		case run.Started.After(e.run.Started):
			changes = append(changes, b.drop(now, e)...)
		}
	}
	for _, e := range b.entries {
		if !now.Before(e.keptUntil) {
			changes = append(changes, b.drop(now, e)...)
		}
	}
	return changes
}

// drop removes an entry.
func (b *Book) drop(now time.Time, e *entry) []Change {
	delete(b.entries, e.run.Upstream)
	if !now.Before(e.pausedUntil) {
		return nil
	}
	return []Change{{Kind: ChangeEnded, Run: e.run}}
}

// Tick returns the pauses that have ended.
func (b *Book) Tick(now time.Time) []Change {
	var changes []Change
	for _, e := range b.entries {
		if !e.pausedUntil.IsZero() && !now.Before(e.pausedUntil) {
			e.pausedUntil = time.Time{}
			changes = append(changes, Change{Kind: ChangeEnded, Run: e.run})
		}
	}
	return changes
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
