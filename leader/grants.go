package leader

import (
	"context"
	"errors"
	"slices"
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
	maxConcurrentReleases = 12
	// maxConcurrentGrants bounds the concurrent grants to an upstream, each of which
	// uses its own connection. More than one are sent only if others would lapse.
	maxConcurrentGrants = 4
	// maxGrants bounds the concurrent grants to all upstreams. A new leader owes all of them
	// at once, and its heartbeats must not wait for the calls.
	maxGrants = 256
	// urgentHoldShare is the share of a hold below which what is left of one makes its
	// renewal urgent.
	urgentHoldShare = 0.5
	// newGrantShare is the share of a hold within which a holder is to get keys that it
	// does not have yet. Renewals that are due before go first.
	newGrantShare = 0.75
	// probeInterval is the pause after a failed probe of a lost upstream.
	probeInterval = 350 * time.Millisecond
)

// queue holds the calls to one upstream. Grants are ordered by when the keys lapse.
type queue struct {
	grants    []queuedGrant
	granting  int
	releases  []keeper.Call
	releasing int
}

// queuedGrant is a grant that waits for others.
type queuedGrant struct {
	call     keeper.Call
	queuedAt time.Time
	dueAt    time.Time // when the holder's keys lapse, or when it is to get new ones
}

// isNew reports whether the holder does not have the keys yet.
func (g queuedGrant) isNew() bool { return g.call.ValidUntil.IsZero() }

// addGrant queues a grant before those that are due later.
func (q *queue) addGrant(g queuedGrant) {
	i, _ := slices.BinarySearchFunc(q.grants, g, func(x, g queuedGrant) int {
		if x.dueAt.After(g.dueAt) {
			return 1
		}
		return -1
	})
	q.grants = slices.Insert(q.grants, i, g)
}

// mayGrant reports whether the first grant may be sent now: alone, or beside others if
// the holder would not have its keys for long, or waits for new ones.
func (q *queue) mayGrant(now time.Time, hold time.Duration) bool {
	if len(q.grants) == 0 || q.granting >= maxConcurrentGrants {
		return false
	}
	left := q.grants[0].dueAt.Sub(now)
	return q.granting == 0 || left < share(urgentHoldShare, hold) || slices.ContainsFunc(q.grants, queuedGrant.isNew)
}

// share returns a part of a time.
func share(part float64, d time.Duration) time.Duration { return time.Duration(part * float64(d)) }

// enqueueCall queues a call that the keeper requested.
func (l *Leader) enqueueCall(c keeper.Call) {
	q, ok := l.term.queues[c.Run.Upstream]
	if !ok {
		q = &queue{}
		l.term.queues[c.Run.Upstream] = q
	}
	if c.Kind == keeper.CallGrant {
		g := queuedGrant{call: c, queuedAt: timekeeper.Now(), dueAt: c.ValidUntil}
		if g.isNew() {
			g.dueAt = g.queuedAt.Add(share(newGrantShare, l.KeeperTiming.Hold))
		}
		q.addGrant(g)
	} else {
		q.releases = append(q.releases, c)
	}
}

// startQueued starts the calls to all upstreams that may run now.
func (l *Leader) startQueued() {
	for _, q := range l.term.queues {
		l.startCalls(q)
	}
}

// startCalls starts the calls to one upstream that may run now. A grant that is not to
// be sent does not hold up the others.
func (l *Leader) startCalls(q *queue) {
	for now := timekeeper.Now(); l.term.granting < maxGrants && q.mayGrant(now, l.KeeperTiming.Hold); {
		next := q.grants[0]
		q.grants = q.grants[1:]
		s, cause := l.beginGrant(now, next.call)
		if cause != nil {
			l.handleGrantResult(q, sentGrant{queuedGrant: next, sentAt: now, result: keeper.ResultWithheld, cause: cause})
			continue
		}
		q.granting++
		l.term.granting++
		l.sendGrant(q, next, s)
	}
	for q.releasing < maxConcurrentReleases && len(q.releases) > 0 {
		c := q.releases[0]
		q.releases = q.releases[1:]
		q.releasing++
		l.sendRelease(q, c)
	}
}

// beginGrant returns the server that a grant is to be sent to, or why it must not be
// sent.
func (l *Leader) beginGrant(now time.Time, c keeper.Call) (pimento.Server, error) {
	s, known := l.term.serverOf(c.Run)
	switch {
	case !known:
		return s, errRunNotKnown
	case !l.HasAuthority():
		return s, errLacksAuthority
	case !l.keeper.BeginGrant(now, c):
		return s, errGrantNotWanted
	}
	return s, nil
}

// sentGrant is a grant with its result.
type sentGrant struct {
	queuedGrant
	sentAt    time.Time
	authority time.Duration // that was left then
	result    keeper.Result
	cause     error
}

// sendGrant sends one grant if this process still has authority.
func (l *Leader) sendGrant(q *queue, next queuedGrant, s pimento.Server) {
	t := l.term
	beganAt := timekeeper.Now()
	go func() {
		sentAt, authorityUntil := timekeeper.Now(), time.Unix(0, l.authorityUntil.Load())
		sent := sentGrant{queuedGrant: next, sentAt: sentAt, authority: max(0, authorityUntil.Sub(sentAt)), result: keeper.ResultWithheld, cause: errLacksAuthority}
		if l.HasAuthority() {
			grant := next.call.Grant
			grant.SendBefore = earlier(authorityUntil, beganAt.Add(l.KeeperTiming.AnswerTimeout))
			ctx, cancel := context.WithTimeout(t.ctx, l.KeeperTiming.AnswerTimeout)
			sent.cause = l.Grantor.Grant(ctx, s, grant)
			sent.result = grantResult(sent.cause)
			cancel()
		}
		l.postTerm(t, func() {
			q.granting--
			t.granting--
			l.handleGrantResult(q, sent)
			l.startCalls(q)
		})
	}()
}

// handleGrantResult passes the result of a grant to the keeper.
func (l *Leader) handleGrantResult(q *queue, g sentGrant) {
	now, c := timekeeper.Now(), g.call
	l.keeper.HandleGrantResult(now, g.sentAt, c, g.result)
	if g.result == keeper.ResultAccepted {
		return
	}
	if g.result == keeper.ResultFenced && l.keeper.IsCurrent(c) {
		l.doubtTerm(now, c)
	}
	l.Events.Emit(pimento.EventGrantFailed, "Service", c.Service, "Upstream", c.Run.Upstream, "Keys", c.Grant.Range, "Fence", c.Grant.Fence, "Result", g.result, "Cause", g.cause,
		"Queued", g.sentAt.Sub(g.queuedAt).Round(time.Millisecond), "Took", now.Sub(g.sentAt).Round(time.Millisecond), "Waiting", len(q.grants),
		"Authority", g.authority.Round(time.Millisecond))
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
	case errors.As(err, &unreachable) && unreachable.Withheld:
		return keeper.ResultWithheld
	case errors.As(err, &unreachable) && unreachable.Unsent:
		return keeper.ResultUnsent
	default:
		return keeper.ResultUnknown
	}
}

// sendRelease sends one release or revocation to the latest run of its upstream if this
// process has authority.
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
			l.Events.Emit(pimento.EventReleased, "Service", c.Service, "Upstream", c.Run.Upstream, "Keys", c.Grant.Range, "Fence", c.Grant.Fence, "Call", c.Kind,
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
