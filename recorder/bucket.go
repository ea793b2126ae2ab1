package recorder

import (
	"time"

	"pimentorelay.example/pimento"
)

// limit bounds the log lines of one kind of event in one process.
type limit struct {
	perSecond float64
	burst     float64
}

// A line is some 300 bytes, so one kind of event writes at most 30 KB per second,
// beyond its burst.
var (
	// answeredLimit is for successful requests: a small sample is enough to show
	// the usual case.
	answeredLimit = limit{perSecond: 20, burst: 40}
	// failedLimit is for other requests, which callers ask about.
	failedLimit = limit{perSecond: 100, burst: 300}
	// stateChangeLimit is for changes of a process's known state.
	stateChangeLimit = limit{perSecond: 50, burst: 400}
)

func limitOf(n pimento.EventNumber) limit {
	switch n {
	case pimento.EventRequestAnswered:
		return answeredLimit
	case pimento.EventRequestUnknown, pimento.EventRequestNotRun, pimento.EventRequestRepeated, pimento.EventAnswerCut:
		return failedLimit
	default:
		return stateChangeLimit
	}
}

// bucket is a token bucket that counts the lines it drops.
type bucket struct {
	limit      limit
	tokens     float64
	refilledAt time.Time
	dropped    uint64    // since the last report
	reportedAt time.Time // time of the last report
}

// dropReportInterval is the least time between two reports of dropped lines.
const dropReportInterval = time.Second

// allow reports whether a line may be written now, and how many were dropped
// before it if a report of that is due.
func (b *bucket) allow(now time.Time) (ok bool, dropped uint64) {
	b.tokens = min(b.limit.burst, b.tokens+now.Sub(b.refilledAt).Seconds()*b.limit.perSecond)
	b.refilledAt = now
	if b.tokens < 1 {
		b.dropped++
		return false, 0
	}
	b.tokens--
	if now.Sub(b.reportedAt) < dropReportInterval {
		return true, 0
	}
	dropped, b.dropped, b.reportedAt = b.dropped, 0, now
	return true, dropped
}
