package quarantiner

import (
	"cmp"
	"slices"
	"time"
)

const (
	// CrashLimit is the number of runs that a request may crash before it is refused.
	CrashLimit = 3
	// blockDuration is how long a request is refused once it has reached CrashLimit. A
	// crash after a block has ended doubles it, up to maxBlockDuration.
	blockDuration    = time.Minute
	maxBlockDuration = 32 * time.Minute
	// factLifetime is how long a crash counts. It is longer than any block, so that a
	// block that ends leaves no fresh count.
	factLifetime = 2 * maxBlockDuration
	// maxFacts bounds the facts that are kept.
	maxFacts = 4096
	// maxTold bounds the facts in one message.
	maxTold = 1024
)

// Book holds facts. Books of different processes become equal by exchanging their
// facts in any order, any number of times. The zero value is empty. It is not safe for
// concurrent use.
type Book struct {
	facts   map[Fingerprint]map[Run]*entry
	size    int
	version uint64
}

// entry is a fact with what this process knows of it.
type entry struct {
	foundAt time.Time // the earliest that any process has told
	// knownAt is since when this process knows, or suspects, the crash: a copy that it
	// sends later and that is answered clears it.
	knownAt time.Time
	cleared bool
	version uint64 // of the book when the entry last changed
	shown   bool   // the leader's state has shown it
}

// Version returns the version of the book. It rises with each fact that is added or
// cleared.
func (b *Book) Version() uint64 { return b.version }

// Crashes returns how many crashes count against a request.
func (b *Book) Crashes(p Fingerprint) int {
	n := 0
	for _, e := range b.facts[p] {
		if !e.cleared {
			n++
		}
	}
	return n
}

// BlockedUntil returns until when a request is refused for its crashes, zero if it has
// not reached CrashLimit.
func (b *Book) BlockedUntil(p Fingerprint) time.Time {
	var found []time.Time
	for _, e := range b.facts[p] {
		if !e.cleared {
			found = append(found, e.foundAt)
		}
	}
	if len(found) < CrashLimit {
		return time.Time{}
	}
	slices.SortFunc(found, time.Time.Compare)
	duration := blockDuration
	until := found[CrashLimit-1].Add(duration)
	for _, at := range found[CrashLimit:] {
		if at.After(until) {
			duration = min(2*duration, maxBlockDuration)
		}
		if end := at.Add(duration); end.After(until) {
			until = end
		}
	}
	return until
}

// Blocked reports whether a request is refused for its crashes.
func (b *Book) Blocked(now time.Time, p Fingerprint) bool { return now.Before(b.BlockedUntil(p)) }

// add adds the crash of a run, and reports whether it was not known.
func (b *Book) add(now time.Time, p Fingerprint, run Run, e entry) bool {
	if _, known := b.facts[p][run]; known {
		return false
	}
	if b.facts == nil {
		b.facts = make(map[Fingerprint]map[Run]*entry)
	}
	if b.facts[p] == nil {
		b.facts[p] = make(map[Run]*entry)
	}
	b.version++
	e.version = b.version
	b.facts[p][run] = &e
	b.size++
	if b.size > maxFacts {
		b.trim(now)
	}
	return true
}

// clear records that a copy of a request that was sent at sentAt was answered, and
// returns how many crashes it cleared: those that were known before.
func (b *Book) clear(p Fingerprint, sentAt time.Time) int {
	n := 0
	for _, e := range b.facts[p] {
		if !e.cleared && e.knownAt.Before(sentAt) {
			b.clearEntry(e)
			n++
		}
	}
	return n
}

func (b *Book) clearEntry(e *entry) {
	b.version++
	e.cleared, e.shown, e.version = true, false, b.version
}

// Merge adds facts that another process knows, and returns those that were news.
func (b *Book) Merge(now time.Time, list []Fact) []Fact {
	var news []Fact
	for _, f := range list {
		if f.Age < factLifetime && b.mergeFact(now, f) {
			news = append(news, f)
		}
	}
	return news
}

// mergeFact adds one fact, and reports whether it was news.
func (b *Book) mergeFact(now time.Time, f Fact) bool {
	foundAt := now.Add(-f.Age)
	e, known := b.facts[f.Fingerprint][f.Run]
	if !known {
		return b.add(now, f.Fingerprint, f.Run, entry{foundAt: foundAt, knownAt: now, cleared: f.Cleared})
	}
	if foundAt.Before(e.foundAt) {
		e.foundAt = foundAt
	}
	if !f.Cleared || e.cleared {
		return false
	}
	b.clearEntry(e)
	return true
}

// Since returns the facts that were added or cleared after a version, the newest
// first, maxTold at most.
func (b *Book) Since(now time.Time, version uint64) []Fact {
	return b.list(now, func(e *entry) bool { return e.version > version })
}

// unshown returns the facts that the leader's state has not shown, the newest first,
// maxTold at most.
func (b *Book) unshown(now time.Time) []Fact {
	return b.list(now, func(e *entry) bool { return !e.shown })
}

func (b *Book) list(now time.Time, match func(*entry) bool) []Fact {
	var out []Fact
	for p, runs := range b.facts {
		for run, e := range runs {
			if match(e) && now.Sub(e.foundAt) < factLifetime {
				out = append(out, Fact{Fingerprint: p, Run: run, Cleared: e.cleared, Age: max(0, now.Sub(e.foundAt))})
			}
		}
	}
	slices.SortFunc(out, func(x, y Fact) int {
		return cmp.Or(cmp.Compare(x.Age, y.Age), cmp.Compare(x.Fingerprint, y.Fingerprint), cmp.Compare(x.Run.Upstream, y.Run.Upstream), cmp.Compare(x.Run.Started, y.Run.Started))
	})
	return out[:min(len(out), maxTold)]
}

// markShown records that the leader's state has shown a fact.
func (b *Book) markShown(f Fact) {
	if e, known := b.facts[f.Fingerprint][f.Run]; known && e.cleared == f.Cleared {
		e.shown = true
	}
}

// forgetShown records that a new leader has not shown anything.
func (b *Book) forgetShown() {
	for _, runs := range b.facts {
		for _, e := range runs {
			e.shown = false
		}
	}
}

// trim drops facts that count no more and then, until there is room, the oldest, those
// of refused requests last.
func (b *Book) trim(now time.Time) {
	type candidate struct {
		fingerprint Fingerprint
		run         Run
		foundAt     time.Time
		blocked     bool
	}
	var list []candidate
	for p, runs := range b.facts {
		blocked := b.Blocked(now, p)
		for run, e := range runs {
			list = append(list, candidate{p, run, e.foundAt, blocked && !e.cleared})
		}
	}
	slices.SortFunc(list, func(x, y candidate) int {
		if x.blocked != y.blocked {
			if x.blocked {
				return 1
			}
			return -1
		}
		return x.foundAt.Compare(y.foundAt)
	})
	const room = maxFacts / 8
	for _, c := range list {
		if b.size <= maxFacts-room && now.Sub(c.foundAt) < factLifetime {
			continue
		}
		b.remove(c.fingerprint, c.run)
	}
}

func (b *Book) remove(p Fingerprint, run Run) {
	delete(b.facts[p], run)
	if len(b.facts[p]) == 0 {
		delete(b.facts, p)
	}
	b.size--
}
