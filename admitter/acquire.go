package admitter

import (
	"context"
	"errors"
	"io"
	"net/netip"
	"time"

	"pimentorelay.example/pimento"
	"pimentorelay.example/pimento/connector"
	"pimentorelay.example/pimento/forwarder"
	"pimentorelay.example/pimento/messenger"
	"pimentorelay.example/pimento/quarantiner"
	"pimentorelay.example/pimento/scheduler"
)

var _ forwarder.Dispatcher = (*Admitter)(nil)

// Acquire implements forwarder.Dispatcher. It asks the dispatchers in line.
func (a *Admitter) Acquire(ctx context.Context, r *pimento.Request, try forwarder.AttemptState) (forwarder.Permit, error) {
	a.init()
	key, line := a.line(r)
	for _, p := range line {
		if p.ID == a.Self.ID {
			return a.acquireHere(ctx, key, r, try)
		}
		permit, err := a.acquireFrom(ctx, p, key, r, try)
		if err == nil || !a.isDown(ctx, p, err) {
			return permit, err
		}
	}
	return a.acquireHere(ctx, key, r, try)
}

// line returns the pool of a request and those to ask, in order.
func (a *Admitter) line(r *pimento.Request) (poolKey, []pimento.Process) {
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	key := poolKey{service: r.Service}
	pools := a.board.poolsOf(r.Service)
	if len(pools) == 0 {
		return key, nil
	}
	key.index = a.poolOf(r, len(pools))
	var out []pimento.Process
	for _, id := range pools[key.index].Line {
		p, ok := a.board.Processes[id]
		if ok && now.After(a.down[id]) {
			out = append(out, p)
		}
	}
	return key, out
}

// poolOf returns the place of a request's pool: that of the owner of its key,
// or any. The caller holds mu.
func (a *Admitter) poolOf(r *pimento.Request, count int) int {
	if count == 1 {
		return 0
	}
	for _, o := range a.board.Owners[r.Service] {
		if o.Contains(r.Key) {
			return pimento.PoolOf(o.Upstream, count)
		}
	}
	a.ticket++
	return int(a.ticket) % count
}

// isDown notes a dispatcher that did not answer, and reports whether that is
// what err says.
func (a *Admitter) isDown(ctx context.Context, p pimento.Process, err error) bool {
	var lost *pimento.UnreachableError
	if !errors.As(err, &lost) || ctx.Err() != nil {
		return false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.down[p.ID] = time.Now().Add(downPause)
	return true
}

// ticketOf describes a request to the scheduler.
func (a *Admitter) ticketOf(r *pimento.Request, try forwarder.AttemptState) scheduler.Ticket {
	return scheduler.Ticket{
		Route: r.Route.Name, Priority: r.Route.Priority, Key: r.Key, Domain: a.Self.Domain, Bytes: r.BodyLength,
		Arrived: time.Now(), GoalAt: r.GoalAt, Deadline: r.Deadline, Repeat: try.Number > 1, Avoid: try.Avoid,
	}
}

// acquireHere lets this process decide.
func (a *Admitter) acquireHere(ctx context.Context, key poolKey, r *pimento.Request, try forwarder.AttemptState) (forwarder.Permit, error) {
	decided := make(chan scheduler.Decision, 1)
	id, out := a.offer(key, a.ticketOf(r, try), &waiter{print: quarantiner.Print(r.Print), answer: func(d scheduler.Decision) { decided <- d }})
	runAll(out)
	select {
	case d := <-decided:
		return a.local(key, d)
	case <-ctx.Done():
		a.cancel(key, id)
		return nil, gaveUp(ctx)
	}
}

// local turns a decision of this process into a permit.
func (a *Admitter) local(key poolKey, d scheduler.Decision) (forwarder.Permit, error) {
	if d.Refusal != nil {
		return nil, d.Refusal
	}
	s, ok := a.server(d.Upstream)
	if !ok {
		a.done(key, d.Ticket, scheduler.Result{Kind: scheduler.ResultCanceled})
		return nil, pimento.NotRun(pimento.ReasonNoOwner, "the upstream is gone")
	}
	basis := forwarder.Basis{
		Dispatcher: a.Self.ID, Running: d.Running, Slots: d.Slots, Expected: d.Expected, Owners: a.ownersVersion(),
	}
	tell := func(r scheduler.Result) { a.done(key, d.Ticket, r) }
	return &permit{server: s, basis: basis, client: a.client(s), tell: tell}, nil
}

// gaveUp says that a request's context ended before it got a permit.
func gaveUp(ctx context.Context) error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return pimento.NotRun(pimento.ReasonTimeout, "no upstream had room before the deadline")
	}
	return pimento.NotRun(pimento.ReasonCallerGone, "the caller has left")
}

// acquireFrom asks another process.
func (a *Admitter) acquireFrom(ctx context.Context, p pimento.Process, key poolKey, r *pimento.Request, try forwarder.AttemptState) (forwarder.Permit, error) {
	t := a.ticketOf(r, try)
	reply, err := a.Peers.Call(ctx, p, &messenger.Message{Acquire: &messenger.Acquire{
		Service: key.service, Pool: key.index, Route: t.Route, Priority: t.Priority, Key: t.Key, Domain: t.Domain, Bytes: t.Bytes,
		Goal: t.GoalAt.Sub(t.Arrived), Left: t.Deadline.Sub(t.Arrived), Repeat: t.Repeat, Avoid: t.Avoid, Print: quarantiner.Print(r.Print),
	}})
	switch {
	case err != nil && ctx.Err() != nil:
		return nil, gaveUp(ctx)
	case err != nil:
		return nil, err
	case reply.Refusal != nil:
		out := pimento.NotRun(reply.Refusal.Reason, reply.Refusal.Detail)
		out.RetryAfter, out.By = reply.Refusal.RetryAfter, p.ID
		return nil, out
	case reply.Permit != nil:
		return a.remote(p, key, reply.Permit)
	default:
		return nil, &pimento.UnreachableError{Target: string(p.ID), Cause: errReply}
	}
}

// errReply is the cause where a dispatcher answers neither with a permit nor
// with a refusal.
var errReply = errors.New("neither a permit nor a refusal")

// remote turns the permit of another process into one that tells it the end.
func (a *Admitter) remote(p pimento.Process, key poolKey, m *messenger.Permit) (forwarder.Permit, error) {
	address, err := netip.ParseAddrPort(m.Address)
	if err != nil {
		return nil, &pimento.UnreachableError{Target: string(p.ID), Cause: err}
	}
	s := pimento.Server{Name: m.Name, Service: key.service, Address: address, Domain: m.Domain, Started: time.UnixMilli(m.Started)}
	tell := func(r scheduler.Result) {
		d := &messenger.Done{Service: key.service, Pool: key.index, Ticket: m.Ticket, Kind: string(r.Kind), Took: r.Took, ColdFor: r.ColdFor}
		if r.HasLoad {
			d.InFlight, d.Waiting, d.Slots, d.Slowness = r.Load.InFlight, r.Load.Waiting, max(1, r.Load.Slots), r.Load.Slowness
		}
		ctx, cancel := context.WithTimeout(context.Background(), tellTimeout)
		defer cancel()
		// A dispatcher that is not told drops the permit after the deadline.
		if err := a.Peers.Send(ctx, p, &messenger.Message{Done: d}); err != nil {
			a.isDown(ctx, p, err)
		}
	}
	basis := forwarder.Basis{Dispatcher: p.ID, Running: m.Running, Slots: m.Slots, Expected: m.Expected, Owners: m.Owners}
	return &permit{server: s, basis: basis, client: a.client(s), tell: tell}, nil
}

// tellTimeout bounds the message that gives a permit back.
const tellTimeout = 300 * time.Millisecond

// permit implements forwarder.Permit.
type permit struct {
	server pimento.Server
	basis  forwarder.Basis
	client *connector.Client
	tell   func(scheduler.Result)
	sentAt time.Time
	result scheduler.Result
}

// Upstream implements forwarder.Permit.
func (p *permit) Upstream() pimento.UpstreamName { return p.server.Name }

// Basis implements forwarder.Permit.
func (p *permit) Basis() forwarder.Basis { return p.basis }

// Serve implements forwarder.Permit.
func (p *permit) Serve(ctx context.Context, r *pimento.Request, body io.Reader) (pimento.Answer, pimento.AnswerMark, error) {
	p.sentAt = time.Now()
	answer, mark, err := p.client.Serve(ctx, r, body)
	p.result = scheduler.Result{Kind: kindOf(answer, err), Took: time.Since(p.sentAt), Load: mark.Load, HasLoad: mark.HasLoad, ColdFor: mark.ColdFor}
	return answer, mark, err
}

// kindOf says what the end of a request tells of its upstream.
func kindOf(answer pimento.Answer, err error) scheduler.ResultKind {
	var out *pimento.OutcomeError
	if err == nil {
		if answer.Head.Status >= 500 {
			return scheduler.ResultFailed
		}
		return scheduler.ResultAnswered
	}
	if !errors.As(err, &out) {
		return scheduler.ResultBroken
	}
	switch out.Reason {
	case pimento.ReasonMisdirected:
		return scheduler.ResultMisdirected
	case pimento.ReasonRefused:
		return scheduler.ResultRefused
	case pimento.ReasonTimeout:
		return scheduler.ResultTimeout
	case pimento.ReasonCallerGone, pimento.ReasonBodyCut:
		return scheduler.ResultCanceled
	}
	if out.Outcome == pimento.OutcomeNotRun {
		return scheduler.ResultUnreached
	}
	return scheduler.ResultBroken
}

// Done implements forwarder.Permit.
func (p *permit) Done(err error) {
	if err != nil && p.result.Kind == scheduler.ResultAnswered {
		p.result.Kind = scheduler.ResultBroken
	}
	p.tell(p.result)
}
