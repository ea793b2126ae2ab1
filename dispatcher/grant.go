package dispatcher

import (
	"context"
	"errors"
	"math"
	"slices"
	"time"

	"pimentorelay.example/pimento"
)

// errRestarted is the cause where a new connection reached another run of the
// upstream than the one that was known.
var errRestarted = errors.New("the upstream has restarted")

// verify accepts a new connection if it reaches the known run.
func (l *lane) verify(a pimento.GrantAnswer) error {
	l.mu.Lock()
	same := l.boot == "" || l.boot == a.Boot
	l.mu.Unlock()
	if same {
		return nil
	}
	if l.heard(time.Now(), a) {
		l.nudge()
	}
	return errRestarted
}

// contact speaks to the upstream once: a grant if one is due, else a probe.
func (l *lane) contact(ctx context.Context) {
	grant, due := l.nextGrant(time.Now())
	var answer pimento.GrantAnswer
	var err error
	if due {
		answer, err = l.client.Grant(ctx, grant)
	} else {
		answer, err = l.client.Health(ctx)
	}
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		l.silent(time.Now())
		return
	}
	if restarted := l.heard(time.Now(), answer); restarted {
		l.nudge()
	} else if due && answer.Accepted {
		l.confirmGrant()
	} else if !due {
		l.nudgeIfWaiting()
	}
}

// nextGrant returns the grant that is due. No grant outlasts this process's
// authority, and none is sent while the upstream is silent, so that the last
// one ends soon.
func (l *lane) nextGrant(now time.Time) (pimento.Grant, bool) {
	until := l.d.Authority()
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.held || l.failures > 0 || l.lost || l.clockAt.IsZero() || !now.Before(until) {
		return pimento.Grant{}, false
	}
	l.sequence++
	g := pimento.Grant{Fence: l.fence, Sequence: l.sequence, ValidUntil: l.clock + until.Sub(l.clockAt)}
	l.covered = l.covered[:0]
	for id, h := range l.holds {
		if h.open || h.inFlight > 0 {
			g.Ranges = append(g.Ranges, h.span)
			l.covered = append(l.covered, id)
			h.grantEnds = until
		}
	}
	if l.d.unkeyed(l.server.Service) && !l.stopping {
		g.Ranges = []pimento.Range{{Start: 0, End: math.MaxUint64}}
	}
	if len(g.Ranges) > 0 {
		l.grantEnds = until
	}
	return g, true
}

// heard takes in a sign of life and reports whether the upstream restarted.
func (l *lane) heard(now time.Time, a pimento.GrantAnswer) bool {
	l.mu.Lock()
	restarted := l.boot != "" && l.boot != a.Boot
	if l.boot == "" {
		if limit, ok := l.d.Reached(l.server.Name, a.Boot); ok {
			l.limit.Warm(limit)
		}
	}
	if restarted {
		l.limit.Cold()
		l.doubts = nil
		for j := range l.jobs { // their connections ended with the earlier run
			j.cancel()
		}
	}
	l.boot, l.clock, l.clockAt = a.Boot, a.Clock, now
	l.heardAt, l.failures = now, 0
	back := l.lost && l.lostEpoch < l.d.Epoch()
	if back {
		l.lost = false
	}
	l.mu.Unlock()
	if restarted {
		l.d.Events.Emit(pimento.EventUpstreamRestart, "Upstream", l.server.Name, "Boot", a.Boot)
	}
	if back {
		l.d.Events.Emit(pimento.EventUpstreamBack, "Upstream", l.server.Name)
	}
	return restarted
}

// confirmGrant notes which holds the accepted grant covers.
func (l *lane) confirmGrant() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.empty = len(l.covered) == 0
	missing := false
	for id, h := range l.holds {
		h.granted = slices.Contains(l.covered, id)
		if h.granted && !h.isReady {
			h.isReady = true
			close(h.ready)
		}
		missing = missing || !h.granted && h.open
	}
	if missing {
		l.nudge()
	}
}

// nudgeIfWaiting asks for a grant right after the first probe of an upstream.
func (l *lane) nudgeIfWaiting() {
	now, until := time.Now(), l.d.Authority()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, h := range l.holds {
		if h.open && !h.isReady && l.held && !l.lost && now.Before(until) {
			l.nudge()
			return
		}
	}
}

// silent takes in a missing answer.
func (l *lane) silent(now time.Time) {
	l.mu.Lock()
	l.failures++
	gone := now.Sub(l.heardAt) > lostAfter || l.failures >= lostRefusals
	newly := gone && !l.lost
	if newly {
		l.lost = true
		l.lostEpoch = l.d.Epoch()
	}
	if gone {
		l.limit.Cold()
	}
	l.mu.Unlock()
	if newly {
		l.d.Events.Emit(pimento.EventUpstreamLost, "Upstream", l.server.Name)
	}
}
