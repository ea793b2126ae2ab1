// Package limiter keeps the limits that upstreams name in their answers, and paces
// the requests to them. It is pure: times and observations come in as arguments.
//
// A limit holds for all processes together. Each process keeps a [Book] of what
// answers said and tells the others of it; the process that issues the permits of
// an upstream has a [Pacer] for it.
//
// # Usage
//
//	var b limiter.Book
//	b.Observe(now, sentAt, upstream, notice)
//	reports := b.Reports(now)       // for other processes
//	other.Merge(now, reports)
//	rate, limited := b.Rate(now, upstream)
package limiter

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"pimentorelay.example/pimento"
)

const (
	// holdTime is how long a named limit holds at least, and how long a lower one
	// goes before a higher one: answers overtake each other, and an upstream may
	// name another limit in each.
	holdTime = time.Second
	// endedFor is how long the end of a limit is told to other processes.
	endedFor = 10 * time.Second
	// changeTolerance is the relative change of a limit that is not reported.
	changeTolerance = 0.05
	// sameNaming is the difference in time below which two namings of the same limit
	// count as one.
	sameNaming = 50 * time.Millisecond
)

// Report is what one process knows of the limit of an upstream. Its age is relative
// to the time of the report, since clocks differ.
type Report struct {
	Upstream pimento.UpstreamName `cbor:"1,keyasint"`
	Rate     pimento.RateLimit    `cbor:"2,keyasint,omitempty"`
	Ended    bool                 `cbor:"3,keyasint,omitempty"` // the upstream names no limit any more
	Age      time.Duration        `cbor:"4,keyasint,omitempty"` // since the answer that said so
}

// Change is a limit that has begun, changed or ended, or a value that is no limit.
type Change struct {
	Upstream pimento.UpstreamName
	Rate     pimento.RateLimit
	Ended    bool
	Invalid  string // what the upstream named instead of a limit; then the rest is unset
}

// Book holds the known limits. The zero value is empty. It is not safe for
// concurrent use.
type Book struct {
	limits  map[pimento.UpstreamName]*limit
	invalid map[pimento.UpstreamName]string // values that are no limit, the last of each upstream
	// pending are changes for the next call of Changes that limits does not show.
	pending []Change
}

// limit is the known limit of one upstream.
type limit struct {
	named    []naming // within holdTime, and the last one
	endedAt  time.Time
	reported Change // as last returned by Changes
	fresh    bool   // observed here since the last call of FreshReports
}

// naming is a limit named in an answer.
type naming struct {
	at   time.Time
	rate pimento.RateLimit
}

// Observe records what the answer to a request that was sent at sentAt says about
// its upstream. Only the answer to a request that was sent after the limit was last
// named can end it; an older one may have been overtaken.
func (b *Book) Observe(now, sentAt time.Time, name pimento.UpstreamName, n pimento.LimitNotice) {
	if n.Invalid != "" {
		b.noteInvalid(name, n.Invalid)
		return
	}
	if n.Named {
		b.name(now, name, n.Rate)
		b.limits[name].fresh = true
		return
	}
	l, known := b.limits[name]
	if known && sentAt.After(l.namedAt()) && l.endedAt.IsZero() {
		l.endedAt, l.fresh = now, true
	}
}

// noteInvalid records a value that is no limit. What is known of the limit stays.
func (b *Book) noteInvalid(name pimento.UpstreamName, text string) {
	if b.invalid[name] == text {
		return
	}
	if b.invalid == nil {
		b.invalid = make(map[pimento.UpstreamName]string)
	}
	b.invalid[name] = text
	b.pending = append(b.pending, Change{Upstream: name, Invalid: text})
}

// name records that an upstream has named a limit.
func (b *Book) name(at time.Time, name pimento.UpstreamName, rate pimento.RateLimit) {
	if b.limits == nil {
		b.limits = make(map[pimento.UpstreamName]*limit)
	}
	l, known := b.limits[name]
	if !known {
		l = &limit{reported: Change{Upstream: name, Ended: true}}
		b.limits[name] = l
	}
	l.add(naming{at: at, rate: rate})
}

// add inserts a naming in order of time and drops those that no longer count.
func (l *limit) add(n naming) {
	if slices.ContainsFunc(l.named, func(x naming) bool { return x.rate == n.rate && n.at.Sub(x.at).Abs() < sameNaming }) {
		return
	}
	i := len(l.named)
	for i > 0 && l.named[i-1].at.After(n.at) {
		i--
	}
	l.named = slices.Insert(l.named, i, n)
	last := l.namedAt()
	l.named = slices.DeleteFunc(l.named, func(x naming) bool { return last.Sub(x.at) > holdTime })
	if !l.endedAt.IsZero() && last.After(l.endedAt) {
		l.endedAt = time.Time{}
	}
}

func (l *limit) namedAt() time.Time { return l.named[len(l.named)-1].at }

// rate returns the limit in force, false if there is none.
func (l *limit) rate(now time.Time) (pimento.RateLimit, bool) {
	if !l.endedAt.IsZero() && now.Sub(l.namedAt()) >= holdTime {
		return 0, false
	}
	lowest := l.named[len(l.named)-1].rate
	for _, n := range l.named {
		if now.Sub(n.at) < holdTime {
			lowest = min(lowest, n.rate)
		}
	}
	return lowest, true
}

// Rate returns the limit of an upstream, false if it has none.
func (b *Book) Rate(now time.Time, name pimento.UpstreamName) (pimento.RateLimit, bool) {
	l, known := b.limits[name]
	if !known {
		return 0, false
	}
	return l.rate(now)
}

// Age returns the time since a limit was last named; zero if none is known.
func (b *Book) Age(now time.Time, name pimento.UpstreamName) time.Duration {
	l, known := b.limits[name]
	if !known {
		return 0
	}
	return now.Sub(l.namedAt())
}

// InForce returns the limits in force.
func (b *Book) InForce(now time.Time) map[pimento.UpstreamName]pimento.RateLimit {
	out := make(map[pimento.UpstreamName]pimento.RateLimit, len(b.limits))
	for name, l := range b.limits {
		if rate, ok := l.rate(now); ok {
			out[name] = rate
		}
	}
	return out
}

// Merge adds what another process knows. The later of two observations counts.
func (b *Book) Merge(now time.Time, list []Report) {
	for _, r := range list {
		at := now.Add(-r.Age)
		if !r.Ended {
			b.name(at, r.Upstream, r.Rate)
			continue
		}
		if l, known := b.limits[r.Upstream]; known && at.After(l.namedAt()) && l.endedAt.IsZero() {
			l.endedAt = at
		}
	}
}

// Reports returns all that is known of limits, for another process.
func (b *Book) Reports(now time.Time) []Report {
	var out []Report
	for name, l := range b.limits {
		if r, ok := l.report(now, name); ok {
			out = append(out, r)
		}
	}
	slices.SortFunc(out, func(x, y Report) int { return cmp.Compare(x.Upstream, y.Upstream) })
	return out
}

// FreshReports returns what answers to this process have said about limits since the
// last call.
func (b *Book) FreshReports(now time.Time) []Report {
	var out []Report
	for name, l := range b.limits {
		r, ok := l.report(now, name)
		if l.fresh && ok {
			out = append(out, r)
		}
		l.fresh = false
	}
	return out
}

func (l *limit) report(now time.Time, name pimento.UpstreamName) (Report, bool) {
	if !l.endedAt.IsZero() {
		age := now.Sub(l.endedAt)
		return Report{Upstream: name, Ended: true, Age: age}, age < endedFor
	}
	rate, _ := l.rate(now)
	return Report{Upstream: name, Rate: rate, Age: now.Sub(l.namedAt())}, true
}

// Changes returns the limits that have begun, ended or changed by more than
// changeTolerance, and the values that are no limit, since the last call.
func (b *Book) Changes(now time.Time) []Change {
	out := b.pending
	b.pending = nil
	for _, name := range slices.Sorted(maps.Keys(b.limits)) {
		l := b.limits[name]
		rate, limited := l.rate(now)
		next := Change{Upstream: name, Rate: rate, Ended: !limited}
		if next.Ended == l.reported.Ended && math.Abs(float64(next.Rate-l.reported.Rate)) <= changeTolerance*float64(l.reported.Rate) {
			continue
		}
		l.reported = next
		out = append(out, next)
	}
	return out
}

// Retain drops the limits of upstreams that do not exist any more, and those that
// ended long ago.
func (b *Book) Retain(now time.Time, exists func(pimento.UpstreamName) bool) {
	maps.DeleteFunc(b.invalid, func(name pimento.UpstreamName, _ string) bool { return !exists(name) })
	maps.DeleteFunc(b.limits, func(name pimento.UpstreamName, l *limit) bool {
		if exists(name) && (l.endedAt.IsZero() || now.Sub(l.endedAt) < endedFor) {
			return false
		}
		if !l.reported.Ended {
			b.pending = append(b.pending, Change{Upstream: name, Ended: true})
		}
		return true
	})
}
