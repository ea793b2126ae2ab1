package recorder

import (
	"time"

	"pimentorelay.example/pimento"
)

// limit bounds the lines of one kind of event in one process.
type limit struct {
	perSecond float64
	burst     float64
}

// The limits of lines. A line is some 300 bytes, so all kinds together stay
// below 100 KB a second in a process.
var (
	// answeredLimit is for requests that went well: the least that is needed to
	// see what is usual.
	answeredLimit = limit{perSecond: 20, burst: 40}
	// failedLimit is for requests that did not: callers ask about these.
	failedLimit = limit{perSecond: 100, burst: 300}
	// beliefLimit is for what changes what a process believes.
	beliefLimit = limit{perSecond: 50, burst: 400}
)

// limitOf returns the limit of a kind of event.
func limitOf(n pimento.EventNumber) limit {
	switch n {
	case pimento.EventRequestAnswered:
		return answeredLimit
	case pimento.EventRequestUnknown, pimento.EventRequestNotRun, pimento.EventRequestRepeated, pimento.EventAnswerCut:
		return failedLimit
	default:
		return beliefLimit
	}
}

// bucket is a token bucket that counts what it refuses.
type bucket struct {
	limit   limit
	tokens  float64
	at      time.Time
	dropped uint64    // since the last time that this was told
	toldAt  time.Time // when it was
}

// tellPause is the least time between two lines about lines that were left out.
const tellPause = time.Second

// take reports whether a line may be written now, and how many were dropped
// before it, if that is to be told now.
func (b *bucket) take(now time.Time) (ok bool, dropped uint64) {
	b.tokens = min(b.limit.burst, b.tokens+now.Sub(b.at).Seconds()*b.limit.perSecond)
	b.at = now
	if b.tokens < 1 {
		b.dropped++
		return false, 0
	}
	b.tokens--
	if now.Sub(b.toldAt) < tellPause {
		return true, 0
	}
	dropped, b.dropped, b.toldAt = b.dropped, 0, now
	return true, dropped
}
