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
	// releaseTimeout bounds a release, which waits for requests that run on its
	// keys.
	releaseTimeout = 5 * time.Second
	// maxConcurrentReleases bounds the concurrent releases at an upstream, each of
	// which uses its own connection.
	maxConcurrentReleases = 6
	// probeInterval is the pause after a failed probe of a lost upstream.
	probeInterval = 350 * time.Millisecond
)

// queue holds the calls to one upstream, which run as one grant at a time and
// up to maxConcurrentReleases releases.
type queue struct {
	grants    []queuedGrant
	granting  bool
	releases  []keeper.Call
	releasing int
}

// queuedGrant is a grant that waits for the one before it.
type queuedGrant struct {
	call     keeper.Call
	queuedAt time.Time
}

// enqueueCall queues a call that the keeper requested.
func (l *Leader) enqueueCall(c keeper.Call) {
	q, ok := l.term.queues[c.Run.Upstream]
	if !ok {
		q = &queue{}
		l.term.queues[c.Run.Upstream] = q
	}
	if c.Kind == keeper.CallGrant {
		q.grants = append(q.grants, queuedGrant{call: c, queuedAt: timekeeper.Now()})
	} else {
		q.releases = append(q.releases, c)
	}
	l.startCalls(q)
}

// startCalls starts the queued calls that may run now.
func (l *Leader) startCalls(q *queue) {
	if !q.granting && len(q.grants) > 0 {
		next := q.grants[0]
		q.grants = q.grants[1:]
		q.granting = true
		l.sendGrant(q, next)
	}
	for q.releasing < maxConcurrentReleases && len(q.releases) > 0 {
		c := q.releases[0]
		q.releases = q.releases[1:]
		q.releasing++
		l.sendRelease(q, c)
	}
}

// sendGrant sends one grant if the keeper still wants it, its run is known and
// this process has authority.
func (l *Leader) sendGrant(q *queue, next queuedGrant) {
	t, c := l.term, next.call
	beganAt := timekeeper.Now()
	s, known := t.serverOf(c.Run)
	wanted := l.keeper.BeginGrant(beganAt, c)
	go func() {
		sentAt, authorityUntil := timekeeper.Now(), time.Unix(0, l.authorityUntil.Load())
		result, cause := keeper.ResultUnsent, l.whyNotGranting(known, wanted)
		if cause == nil {
			grant := c.Grant
			grant.SendBefore = earlier(authorityUntil, beganAt.Add(l.KeeperTiming.AnswerTimeout))
			ctx, cancel := context.WithTimeout(t.ctx, l.KeeperTiming.AnswerTimeout)
			cause = l.Grantor.Grant(ctx, s, grant)
			result = grantResult(cause)
			cancel()
		}
		l.postTerm(t, func() {
			q.granting = false
			l.keeper.HandleGrantResult(timekeeper.Now(), sentAt, c, result)
			if result != keeper.ResultAccepted {
				l.Events.Emit(pimento.EventGrantFailed, "Service", c.Service, "Upstream", c.Run.Upstream, "Keys", c.Grant.Range, "Fence", c.Grant.Fence, "Result", result, "Cause", cause,
					"Queued", sentAt.Sub(next.queuedAt).Round(time.Millisecond), "Took", timekeeper.Now().Sub(sentAt).Round(time.Millisecond), "Waiting", len(q.grants),
					"Authority", max(0, authorityUntil.Sub(sentAt)).Round(time.Millisecond))
			}
			l.startCalls(q)
		})
	}()
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// grantResult maps the error of a grant to its result.
func grantResult(err error) keeper.Result {
	var fenced *pimento.FencedError
	var unreachable *pimento.UnreachableError
	switch {
	case err == nil:
		return keeper.ResultAccepted
	case errors.As(err, &fenced):
		return keeper.ResultFenced
	case errors.As(err, &unreachable) && unreachable.Unsent:
		return keeper.ResultUnsent
	default:
		return keeper.ResultUnknown
	}
}

// sendRelease sends one release to the latest run of the former holder's upstream if
// this process has authority.
func (l *Leader) sendRelease(q *queue, c keeper.Call) {
	t := l.term
	s, known := t.servers[c.Run.Upstream]
	go func() {
		var handover string
		err := error(&pimento.UnreachableError{Target: string(c.Run.Upstream), Unsent: true})
		startedAt := time.Now()
		if known && l.HasAuthority() {
			handover, err = l.Grantor.Release(t.ctx, s, c.Grant.Range, c.Grant.Fence, releaseTimeout)
		}
		if !s.Started.Equal(c.Run.Started) {
			handover = "" // the next run has no state of the keys
		}
		l.postTerm(t, func() {
			q.releasing--
			l.keeper.HandleReleaseResult(timekeeper.Now(), c, handover, err == nil)
			l.Events.Emit(pimento.EventReleased, "Service", c.Service, "Upstream", c.Run.Upstream, "Keys", c.Grant.Range, "Fence", c.Grant.Fence,
				"Took", time.Since(startedAt).Round(time.Millisecond), "Handover", handover != "", "Error", errorText(err))
			l.startCalls(q)
		})
	}()
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// probeLostUpstreams probes the lost upstreams. One gets no keys until it answers.
func (l *Leader) probeLostUpstreams() {
	t := l.term
	for _, run := range l.keeper.LostRuns() {
		if _, known := t.lost[run.Upstream]; !known {
			l.Events.Emit(pimento.EventUpstreamLost, "Upstream", run.Upstream, "Started", run.Started)
		}
		t.lost[run.Upstream] = run
	}
	for name, run := range t.lost {
		s, known := t.serverOf(run)
		if !known {
			delete(t.lost, name) // the run is gone or replaced
			continue
		}
		if !t.probing[name] {
			t.probing[name] = true
			l.probeUpstream(s, run)
		}
	}
}

// probeUpstream probes a lost upstream once.
func (l *Leader) probeUpstream(s pimento.Server, run pimento.Run) {
	t := l.term
	path := l.healthPath(s.Service)
	go func() {
		err := l.Grantor.Probe(t.ctx, s, path)
		if err != nil {
			sleep(t.ctx, probeInterval)
		}
		l.postTerm(t, func() {
			delete(t.probing, run.Upstream)
			if err == nil {
				l.Events.Emit(pimento.EventUpstreamBack, "Upstream", run.Upstream)
				delete(t.lost, run.Upstream)
				l.keeper.MarkReachable(timekeeper.Now(), run)
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

// The causes of a grant that was not attempted.
var (
	errRunNotKnown    = errors.New("the upstream is not known")
	errGrantNotWanted = errors.New("the keys have moved or their range has changed")
	errLacksAuthority = errors.New("this process has no authority")
)

// whyNotGranting returns why a grant must not be sent, nil if it may be.
func (l *Leader) whyNotGranting(known, wanted bool) error {
	switch {
	case !known:
		return errRunNotKnown
	case !wanted:
		return errGrantNotWanted
	case !l.HasAuthority():
		return errLacksAuthority
	}
	return nil
}
