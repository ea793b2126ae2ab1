package leader

import (
	"context"
	"errors"
	"time"

	"pimentorelay.example/pimento"
	"pimentorelay.example/pimento/keeper"
	"pimentorelay.example/pimento/timekeeper"
)

const (
	// releaseTimeout bounds a release, which waits for the work on its keys.
	releaseTimeout = 5 * time.Second
	// maxReleases is the most releases at an upstream at once, each on a
	// connection of its own.
	maxReleases = 6
	// probePause is the time between two tries to reach an upstream that was
	// given up.
	probePause = 350 * time.Millisecond
)

// queue holds the calls to one upstream: one grant at a time, and a few
// releases beside it.
type queue struct {
	grants    []keeper.Call
	granting  bool
	releases  []keeper.Call
	releasing int
}

// call makes a call that the keeper asked for.
func (l *Leader) call(c keeper.Call) {
	q, ok := l.lead.queues[c.Run.Upstream]
	if !ok {
		q = &queue{}
		l.lead.queues[c.Run.Upstream] = q
	}
	if c.Kind == keeper.CallGrant {
		q.grants = append(q.grants, c)
	} else {
		q.releases = append(q.releases, c)
	}
	l.pump(q)
}

// pump starts the calls of a queue that may run now.
func (l *Leader) pump(q *queue) {
	if !q.granting && len(q.grants) > 0 {
		c := q.grants[0]
		q.grants = q.grants[1:]
		q.granting = true
		l.sendGrant(q, c)
	}
	for q.releasing < maxReleases && len(q.releases) > 0 {
		c := q.releases[0]
		q.releases = q.releases[1:]
		q.releasing++
		l.sendRelease(q, c)
	}
}

// sendGrant makes one grant, if this process still has authority then.
func (l *Leader) sendGrant(q *queue, c keeper.Call) {
	t := l.lead
	s, known := t.address(c.Run)
	if !l.keeper.Sending(timekeeper.Now(), c) {
		known = false
	}
	go func() {
		sentAt := timekeeper.Now()
		result := keeper.ResultUnsent
		if known && l.HasAuthority() {
			ctx, cancel := context.WithTimeout(t.ctx, l.Keys.Answer)
			result = resultOf(l.Grantor.Grant(ctx, s, c.Grant))
			cancel()
		}
		l.postTerm(t, func() {
			q.granting = false
			l.keeper.Granted(timekeeper.Now(), sentAt, c, result)
			if result != keeper.ResultAccepted {
				l.Events.Emit(pimento.EventGrantFailed, "Service", c.Service, "Upstream", c.Run.Upstream, "Keys", c.Grant.Range, "Fence", c.Grant.Fence, "Result", result)
			}
			l.pump(q)
		})
	}()
}

// resultOf says how a grant ended.
func resultOf(err error) keeper.Result {
	var fenced *pimento.FencedError
	var lost *pimento.UnreachableError
	switch {
	case err == nil:
		return keeper.ResultAccepted
	case errors.As(err, &fenced):
		return keeper.ResultFenced
	case errors.As(err, &lost) && lost.Unsent:
		return keeper.ResultUnsent
	default:
		return keeper.ResultUnknown
	}
}

// sendRelease takes keys back.
func (l *Leader) sendRelease(q *queue, c keeper.Call) {
	t := l.lead
	s, known := t.address(c.Run)
	go func() {
		var handover string
		err := error(&pimento.UnreachableError{Target: string(c.Run.Upstream), Unsent: true})
		startedAt := time.Now()
		if known && l.HasAuthority() {
			handover, err = l.Grantor.Release(t.ctx, s, c.Grant.Range, c.Grant.Fence, releaseTimeout)
		}
		l.postTerm(t, func() {
			q.releasing--
			l.keeper.Released(timekeeper.Now(), c, handover, err == nil)
			l.Events.Emit(pimento.EventReleased, "Service", c.Service, "Upstream", c.Run.Upstream, "Keys", c.Grant.Range, "Fence", c.Grant.Fence,
				"Took", time.Since(startedAt).Round(time.Millisecond), "Handover", handover != "", "Error", errText(err))
			l.pump(q)
		})
	}()
}

func errText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// probeLost tries to reach upstreams that were given up. Until one answers it
// is given no keys.
func (l *Leader) probeLost() {
	t := l.lead
	for _, run := range l.keeper.LostRuns() {
		if _, known := t.down[run.Upstream]; !known {
			l.Events.Emit(pimento.EventUpstreamLost, "Upstream", run.Upstream, "Started", run.Started)
		}
		t.down[run.Upstream] = run
	}
	for name, run := range t.down {
		s, known := t.address(run)
		if !known {
			delete(t.down, name) // it is gone, or another run has its place
			continue
		}
		if !t.probing[name] {
			t.probing[name] = true
			l.probe(s, run)
		}
	}
}

// probe tries once to reach an upstream.
func (l *Leader) probe(s pimento.Server, run pimento.Run) {
	t := l.lead
	path := l.healthPath(s.Service)
	go func() {
		err := l.Grantor.Probe(t.ctx, s, path)
		if err != nil {
			sleep(t.ctx, probePause)
		}
		l.postTerm(t, func() {
			delete(t.probing, run.Upstream)
			if err == nil {
				l.Events.Emit(pimento.EventUpstreamBack, "Upstream", run.Upstream)
				delete(t.down, run.Upstream)
				l.keeper.Reached(timekeeper.Now(), run)
			}
		})
	}()
}

func (l *Leader) healthPath(name pimento.ServiceName) string {
	if m := l.manifest(); m != nil {
		if s, ok := m.Service(name); ok && s.HealthPath != "" {
			return s.HealthPath
		}
	}
	return "/"
}
