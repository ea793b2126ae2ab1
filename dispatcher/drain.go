package dispatcher

import (
	"context"
	"math"
	"slices"
	"time"

	"pimentorelay.example/pimento"
)

// doubt is a request whose end at the upstream was not seen.
type doubt struct {
	hash  uint64
	until time.Time
}

// draining reports whether anything is being given back. The caller holds mu.
func (l *lane) draining() bool {
	for _, h := range l.holds {
		if !h.open {
			return true
		}
	}
	return l.stopping
}

// finishDrains reports what is given back whole.
func (l *lane) finishDrains(ctx context.Context) {
	now := time.Now()
	l.cancelWithoutAuthority(now)
	l.clearDoubts(ctx, now)
	for _, id := range l.drainedSlices(now) {
		l.d.Events.Emit(pimento.EventSliceDrained, "Slice", id, "Upstream", l.server.Name)
		l.d.OnSliceDrained(id)
	}
	l.mu.Lock()
	done := l.stopping && l.held && len(l.holds) == 0 && l.limit.Running() == 0 && (l.empty || !now.Before(l.grantEnds))
	if done {
		l.held, l.stopping = false, false
	}
	l.mu.Unlock()
	if done {
		l.d.Events.Emit(pimento.EventUpstreamDrained, "Upstream", l.server.Name)
		l.d.OnUpstreamDrained(l.server.Name)
	}
}

// cancelWithoutAuthority ends requests that this process may no longer speak
// for. It does so only for slices that are given back.
func (l *lane) cancelWithoutAuthority(now time.Time) {
	if now.Before(l.d.Authority()) {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, h := range l.holds {
		if !h.open {
			h.cancel()
		}
	}
}

// clearDoubts asks the upstream about requests whose end was not seen.
func (l *lane) clearDoubts(ctx context.Context, now time.Time) {
	l.mu.Lock()
	l.doubts = slices.DeleteFunc(l.doubts, func(x doubt) bool { return !now.Before(x.until) })
	ask := len(l.doubts) > 0 && l.draining() && !l.lost
	known := len(l.doubts)
	l.mu.Unlock()
	if !ask {
		return
	}
	left, err := l.client.Drain(ctx, []pimento.Range{{Start: 0, End: math.MaxUint64}})
	if err != nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if left == 0 && l.limit.Running() == 0 {
		l.doubts = slices.Delete(l.doubts, 0, min(known, len(l.doubts)))
	}
}

// drainedSlices removes and returns the slices that are used no more.
func (l *lane) drainedSlices(now time.Time) []pimento.SliceID {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []pimento.SliceID
	for id, h := range l.holds {
		if !h.open && h.inFlight == 0 && l.given(h, now) {
			h.cancel()
			delete(l.holds, id)
			out = append(out, id)
		}
	}
	return out
}

// given reports whether the upstream can no longer act on a slice by this
// process's orders. The caller holds mu.
func (l *lane) given(h *hold, now time.Time) bool {
	if l.d.checked(l.server.Service) {
		return h.grantEnds.IsZero() || !h.granted || !now.Before(h.grantEnds)
	}
	return !slices.ContainsFunc(l.doubts, func(x doubt) bool { return h.span.Start <= x.hash && x.hash <= h.span.End })
}
