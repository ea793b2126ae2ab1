package admitter

import (
	"errors"
	"fmt"
	"time"

	"pimentorelay.example/pimento"
	"pimentorelay.example/pimento/avoider"
	"pimentorelay.example/pimento/messenger"
	"pimentorelay.example/pimento/scheduler"
	"pimentorelay.example/pimento/timekeeper"
)

// leavingRetryAfter is the delay that callers are told whose request was stopped because
// its upstream leaves: its keys go to others, or others have room.
const leavingRetryAfter = 400 * time.Millisecond

// leavingDelay returns how long requests are still sent to an upstream that has said that
// it leaves. The other half of the bound is for those on their way.
func leavingDelay(bound time.Duration) time.Duration { return bound / 2 }

// SetLeavingBound replaces the LeavingBound of a running Admitter.
func (a *Admitter) SetLeavingBound(bound time.Duration) {
	a.init()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.avoided.LeavingDelay = leavingDelay(bound)
}

// runOf returns the run of a server.
func runOf(s pimento.Server) pimento.Run { return pimento.Run{Upstream: s.Name, Started: s.Started} }

// runs returns the runs of the registered upstreams.
func (snap *Snapshot) runs() []pimento.Run {
	out := make([]pimento.Run, 0, len(snap.Upstreams))
	for _, u := range snap.Upstreams {
		out = append(out, runOf(u.Server))
	}
	return out
}

// checkSend returns the error of a request to an upstream that has told this process that
// it leaves or wants nothing now, or that takes no new work or is gone as far as is known
// here. It is asked right before a request is written, whatever permit that has.
func (a *Admitter) checkSend(s pimento.Server) error {
	if refusal := a.checkAge(); refusal != nil {
		refusal.Reason = pimento.ReasonAvoided // nothing was sent: the permit goes back
		return refusal
	}
	now := timekeeper.Now()
	a.mu.Lock()
	bar, barred := a.avoided.Bar(now, runOf(s))
	unusable := a.isUnusable(s) || a.isGone(s)
	a.mu.Unlock()
	if !barred && !unusable {
		return nil
	}
	if bar.Until.IsZero() {
		out := pimento.NotRun(pimento.ReasonAvoided, fmt.Sprintf("the upstream %s leaves or is gone, or its failure domain is out", s.Name))
		out.RetryAfter = leavingRetryAfter
		return out
	}
	out := pimento.NotRun(pimento.ReasonAvoided, fmt.Sprintf("the upstream %s wants nothing from this process now", s.Name))
	out.RetryAfter = bar.Until.Sub(now)
	return out
}

// isUnusable reports whether a run takes no new work as far as is known here. The
// dispatcher that issued a permit for it may not have known that. The caller holds mu.
func (a *Admitter) isUnusable(s pimento.Server) bool {
	for i := range a.state.Upstreams {
		u := &a.state.Upstreams[i]
		if !u.Usable && u.Name == s.Name && u.Started.UnixMilli() == s.Started.UnixMilli() {
			return true
		}
	}
	return false
}

// errPaused is the cause if an upstream is not probed because it wants nothing now.
var errPaused = errors.New("the upstream wants nothing from this process now")

// checkProbe returns the error of a probe of a paused upstream.
func (a *Admitter) checkProbe(s pimento.Server) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.avoided.PausedUntil(timekeeper.Now(), runOf(s)).IsZero() {
		return nil
	}
	return &pimento.UnreachableError{Target: string(s.Name), Cause: errPaused, Unsent: true}
}

// observeNotice records what an answer says of requests to come, and puts it in force for
// those that wait.
func (a *Admitter) observeNotice(s pimento.Server, writtenAt time.Time, m pimento.AnswerMetadata) {
	notice := avoider.Notice{WrittenAt: writtenAt, Leaving: m.Leaving, Pause: m.Pause}
	if notice.IsEmpty() {
		return
	}
	a.mu.Lock()
	changes := a.avoided.Observe(timekeeper.Now(), runOf(s), notice)
	callbacks := a.applyLeaving(changes)
	if m.Pause.Named {
		callbacks = append(callbacks, a.barWaiting(nil, s.Name)...)
	}
	a.mu.Unlock()
	runAll(callbacks)
	a.reportNotices(changes)
}

// observeReportedNotice records what the answers to a peer, which returns a permit, have
// said. That an upstream leaves concerns all processes, a pause that peer alone.
func (a *Admitter) observeReportedNotice(key poolKey, d *messenger.Done) {
	if !d.Leaving && d.PausedFor <= 0 {
		return
	}
	a.init()
	a.mu.Lock()
	var changes []avoider.Change
	var callbacks []func()
	if p, ok := a.pools[key]; ok {
		issued, known := p.issued[d.Ticket]
		run := pimento.Run{Upstream: issued.run.Upstream, Started: time.UnixMilli(d.Started)}
		if known && d.Leaving {
			// The peer had written its request before now, but not before that run began.
			changes = a.avoided.Observe(timekeeper.Now(), run, avoider.Notice{WrittenAt: run.Started, Leaving: true})
			callbacks = a.applyLeaving(changes)
		}
		if link := p.links[d.Ticket]; known && link != nil && d.PausedFor > 0 {
			now := time.Now()
			bar := scheduler.Bar{Upstream: run.Upstream, Started: run.Started, Until: now.Add(d.PausedFor)}
			callbacks = append(callbacks, a.barPool(now, p, link, bar)...)
		}
	}
	a.mu.Unlock()
	runAll(callbacks)
	a.reportNotices(changes)
}

// applyLeaving takes the upstreams that leave out of the pools without keys, and returns
// the callbacks of the decisions that follow. The caller holds mu.
func (a *Admitter) applyLeaving(changes []avoider.Change) []func() {
	var callbacks []func()
	for _, c := range changes {
		if c.Kind != avoider.ChangeLeaving {
			continue
		}
		now := time.Now()
		for key, p := range a.pools {
			callbacks = append(callbacks, a.applyDecisions(now, p, a.updatePool(key, p))...)
			callbacks = append(callbacks, a.applyDecisions(now, p, p.machine.Tick(now))...)
		}
	}
	return callbacks
}

// isLeftBy reports whether an upstream gets no new work from a pool without keys, since
// it leaves. That of a pool with keys serves them until they have another owner. The
// caller holds mu.
func (a *Admitter) isLeftBy(u scheduler.Upstream) bool {
	s, _ := a.state.Service(u.Service)
	return s.Sharing != pimento.SharingKeyed && a.avoided.IsLeaving(runOf(u.Server))
}

// barWaiting excludes a paused upstream for the requests of a link that wait here, nil for
// those of this process. The caller holds mu.
func (a *Admitter) barWaiting(link *messenger.Link, name pimento.UpstreamName) []func() {
	now := time.Now()
	var callbacks []func()
	for _, b := range a.bars(now) {
		if b.Upstream != name {
			continue
		}
		for _, p := range a.pools {
			callbacks = append(callbacks, a.barPool(now, p, link, b)...)
		}
	}
	return callbacks
}

// barPool excludes an upstream for the requests of a link that wait in a pool, nil for those
// of this process. The caller holds mu.
func (a *Admitter) barPool(now time.Time, p *pool, link *messenger.Link, b scheduler.Bar) []func() {
	var ids []uint64
	for id, w := range p.waiting {
		if w.link == link {
			ids = append(ids, id)
		}
	}
	return a.applyDecisions(now, p, p.machine.Bar(now, ids, b))
}

// barred returns the upstreams to which this process may send nothing now. For an attempt
// whose permit could not be used, those of its service are among them that take no new
// work or are gone as far as is known here.
func (a *Admitter) barred(service pimento.ServiceName, again bool) []scheduler.Bar {
	a.mu.Lock()
	defer a.mu.Unlock()
	out := a.bars(time.Now())
	if !again {
		return out
	}
	for _, u := range a.state.Upstreams {
		if !u.Usable && u.Service == service {
			out = append(out, scheduler.Bar{Upstream: u.Name, Started: u.Started})
		}
	}
	return append(out, a.goneBars(service)...)
}

// bars returns what answers bar now. The caller holds mu.
func (a *Admitter) bars(now time.Time) []scheduler.Bar {
	kept := timekeeper.Now()
	var out []scheduler.Bar
	for _, b := range a.avoided.Bars(kept) {
		x := scheduler.Bar{Upstream: b.Run.Upstream, Started: b.Run.Started}
		if !b.Until.IsZero() {
			x.Until = now.Add(b.Until.Sub(kept))
		}
		out = append(out, x)
	}
	return out
}

// barMessages returns the bars of a ticket for another process.
func barMessages(t scheduler.Ticket) []messenger.Bar {
	var out []messenger.Bar
	for _, b := range t.Barred {
		m := messenger.Bar{Upstream: b.Upstream, Started: b.Started.UnixMilli()}
		if !b.Until.IsZero() {
			m.Left = max(b.Until.Sub(t.Arrived), time.Millisecond)
		}
		out = append(out, m)
	}
	return out
}

// ticketBars returns the bars in a request of another process.
func ticketBars(now time.Time, list []messenger.Bar) []scheduler.Bar {
	var out []scheduler.Bar
	for _, m := range list {
		b := scheduler.Bar{Upstream: m.Upstream, Started: time.UnixMilli(m.Started)}
		if m.Left > 0 {
			b.Until = now.Add(m.Left)
		}
		out = append(out, b)
	}
	return out
}

// noticesOf returns whether an upstream has said that it leaves, and for how long it wants
// nothing from this process.
func (a *Admitter) noticesOf(s pimento.Server) (leaving bool, pausedFor time.Duration) {
	now := timekeeper.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	if until := a.avoided.PausedUntil(now, runOf(s)); !until.IsZero() {
		pausedFor = until.Sub(now)
	}
	return a.avoided.IsLeaving(runOf(s)), pausedFor
}

// noticeReports returns the runs that leave while the known state does not say so, and the
// pauses in force. The caller holds mu.
func (a *Admitter) noticeReports() (leaving []pimento.Run, paused []messenger.Pause) {
	now := timekeeper.Now()
	for _, u := range a.state.Upstreams {
		run := runOf(u.Server)
		if u.State != pimento.StateLeaving && a.avoided.IsLeaving(run) {
			leaving = append(leaving, run)
		}
		if until := a.avoided.PausedUntil(now, run); !until.IsZero() {
			paused = append(paused, messenger.Pause{Run: run, Left: until.Sub(now)})
		}
	}
	return leaving, paused
}

// delayRetry adds the rest of the pause to a refusal by the owner of a key: nobody else
// can serve it earlier.
func (a *Admitter) delayRetry(s pimento.Server, err error) {
	var refusal *pimento.OutcomeError
	if !errors.As(err, &refusal) || refusal.Reason != pimento.ReasonRefused {
		return
	}
	_, pausedFor := a.noticesOf(s)
	a.mu.Lock()
	service, _ := a.state.Service(s.Service)
	a.mu.Unlock()
	if service.Sharing == pimento.SharingKeyed {
		refusal.RetryAfter = max(refusal.RetryAfter, pausedFor)
	}
}

// reportNotices passes changes to OnNotice. The caller does not hold mu.
func (a *Admitter) reportNotices(changes []avoider.Change) {
	if a.OnNotice == nil {
		return
	}
	for _, c := range changes {
		a.OnNotice(c)
	}
}

// Barred returns the upstreams to which this process may send nothing now.
func (a *Admitter) Barred() []pimento.BarredUpstream {
	a.init()
	now := timekeeper.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	var out []pimento.BarredUpstream
	for _, b := range a.avoided.Bars(now) {
		x := pimento.BarredUpstream{Upstream: b.Run.Upstream}
		if !b.Until.IsZero() {
			x.For = pimento.Span(b.Until.Sub(now))
		}
		out = append(out, x)
	}
	return out
}
