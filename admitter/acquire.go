package admitter

import (
	"context"
	"errors"
	"io"
	"net/netip"
	"syscall"
	"time"

	"pimentorelay.example/pimento"
	"pimentorelay.example/pimento/connector"
	"pimentorelay.example/pimento/forwarder"
	"pimentorelay.example/pimento/messenger"
	"pimentorelay.example/pimento/quarantiner"
	"pimentorelay.example/pimento/scheduler"
)

var _ forwarder.Dispatcher = (*Admitter)(nil)

// Acquire implements forwarder.Dispatcher. A dispatcher that does not have the owner of the
// key names the pool that has it.
func (a *Admitter) Acquire(ctx context.Context, r *pimento.Request, attempt forwarder.AttemptState) (forwarder.Permit, error) {
	a.init()
	if wait := a.quarantineWait(quarantiner.Fingerprint(r.Fingerprint)); wait > 0 {
		return nil, quarantineRefusal(wait)
	}
	if refusal := a.checkAge(); refusal != nil {
		return nil, refusal
	}
	key := a.poolFor(r)
	for redirects := 0; ; redirects++ {
		permit, err := a.acquireIn(ctx, key, r, attempt)
		pool, elsewhere := ownerPool(err)
		if !elsewhere || redirects == maxRedirects || pool == key.index {
			return permit, err
		}
		key.index = pool
		attempt.Again = attempt.Again || attempt.Number == 1 // counted by the first dispatcher
	}
}

// acquireIn acquires a permit of a pool. It asks the processes of the pool's preference
// list in order and, if none can be reached, decides locally.
func (a *Admitter) acquireIn(ctx context.Context, key poolKey, r *pimento.Request, attempt forwarder.AttemptState) (forwarder.Permit, error) {
	for _, p := range a.candidates(key) {
		if p.ID == a.Self.ID {
			break
		}
		permit, err := a.acquireFrom(ctx, p, key, r, attempt)
		if err == nil || !a.markUnreachable(ctx, p, err) {
			return permit, err
		}
	}
	return a.acquireLocally(ctx, key, r, attempt)
}

// poolFor returns the pool of a request: that of the owner of its key, or any if none is
// known.
func (a *Admitter) poolFor(r *pimento.Request) poolKey {
	a.mu.Lock()
	defer a.mu.Unlock()
	key := poolKey{service: r.Service}
	if count := len(a.state.poolsOf(r.Service)); count > 1 {
		var known bool
		if key.index, known = a.poolOfKey(r.Service, r.Key, count); !known {
			a.lastTicket++
			key.index = int(a.lastTicket) % count
		}
	}
	return key
}

// candidates returns the processes to ask for a permit of a pool, in order.
func (a *Admitter) candidates(key poolKey) []pimento.Process {
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	pools := a.state.poolsOf(key.service)
	if key.index < 0 || key.index >= len(pools) {
		return nil // the process that named it may know others
	}
	var processes []pimento.Process
	for _, id := range pools[key.index].PreferenceList {
		p, ok := a.state.Processes[id]
		if ok && now.After(a.skipUntil[id]) {
			processes = append(processes, p)
		}
	}
	return processes
}

// markUnreachable reports whether err means that p cannot be reached, and not
// that ctx ended. If so, p is skipped for dispatcherSkipTime.
func (a *Admitter) markUnreachable(ctx context.Context, p pimento.Process, err error) bool {
	var unreachable *pimento.UnreachableError
	if !errors.As(err, &unreachable) || ctx.Err() != nil {
		return false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.skipUntil[p.ID] = time.Now().Add(dispatcherSkipTime)
	return true
}

// ticketOf describes a request to the scheduler.
func (a *Admitter) ticketOf(pool poolKey, r *pimento.Request, attempt forwarder.AttemptState) scheduler.Ticket {
	t := scheduler.Ticket{
		Warm:  a.warmUpstreams(pool),
		Route: r.Route.Name, Priority: r.Route.Priority, Key: r.Key, Domain: a.Self.Domain, BodyBytes: r.BodyLength,
		Arrived: time.Now(), GoalAt: r.GoalAt, Deadline: r.Deadline, Retry: attempt.Number > 1, Again: attempt.Again, Avoid: attempt.Avoid, Barred: a.barred(r.Service, attempt.Again),
	}
	if r.Customer != nil {
		t.Customer, t.CustomerPriority = r.Customer.Name, r.Customer.Priority
	}
	return t
}

// acquireLocally acquires a permit from this process.
func (a *Admitter) acquireLocally(ctx context.Context, key poolKey, r *pimento.Request, attempt forwarder.AttemptState) (forwarder.Permit, error) {
	decided := make(chan scheduler.Decision, 1)
	id, callbacks := a.submit(key, a.ticketOf(key, r, attempt), &waiter{fingerprint: quarantiner.Fingerprint(r.Fingerprint), charged: attempt.Charged, answer: func(d scheduler.Decision) { decided <- d }})
	runAll(callbacks)
	select {
	case d := <-decided:
		return a.localPermit(key, r, d)
	case <-ctx.Done():
		a.cancel(key, id)
		return nil, contextError(ctx)
	}
}

// localPermit turns a decision of this process into a permit.
func (a *Admitter) localPermit(key poolKey, r *pimento.Request, d scheduler.Decision) (forwarder.Permit, error) {
	if d.Refusal != nil {
		if pool, ok := a.redirect(key, r.Key, d.Refusal); ok {
			d.Refusal.Cause = &elsewhereError{pool: pool}
		}
		return nil, d.Refusal
	}
	s, ok := a.server(d.Upstream)
	if !ok {
		a.releasePermit(key, d.Ticket, scheduler.Result{Kind: scheduler.ResultCanceled, Unsent: true})
		return nil, pimento.NotRun(pimento.ReasonNoOwner, "the upstream is gone")
	}
	basis := forwarder.Basis{
		Dispatcher: a.Self.ID, Running: d.Running, Slots: d.Slots, Expected: d.Expected, Owners: a.ownersVersion(),
	}
	release := func(r scheduler.Result) { a.releasePermit(key, d.Ticket, r) }
	return a.newPermit(s, r, basis, release), nil
}

// newPermit returns a permit for an upstream.
func (a *Admitter) newPermit(s pimento.Server, r *pimento.Request, basis forwarder.Basis, release func(scheduler.Result)) *permit {
	return &permit{
		admitter: a, server: s, fingerprint: quarantiner.Fingerprint(r.Fingerprint), issuedAt: time.Now(),
		basis: basis, client: a.client(s), release: release,
	}
}

// contextError returns the error of a request whose context ended before it
// got a permit.
func contextError(ctx context.Context) error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return pimento.NotRun(pimento.ReasonTimeout, "no upstream had room before the deadline")
	}
	if errors.Is(context.Cause(ctx), pimento.ErrStopping) {
		return pimento.RefuseStopping(pimento.ErrStopping.Error())
	}
	return pimento.NotRun(pimento.ReasonCallerGone, "the caller has left")
}

// acquireFrom acquires a permit from another process.
func (a *Admitter) acquireFrom(ctx context.Context, p pimento.Process, key poolKey, r *pimento.Request, attempt forwarder.AttemptState) (forwarder.Permit, error) {
	t := a.ticketOf(key, r, attempt)
	reply, err := a.Peers.Call(ctx, p, &messenger.Message{Acquire: &messenger.Acquire{
		Service: key.service, Pool: key.index, Route: t.Route, Priority: t.Priority, Key: t.Key, Domain: t.Domain, Bytes: t.BodyBytes,
		Goal: t.GoalAt.Sub(t.Arrived), Left: t.Deadline.Sub(t.Arrived), Repeat: t.Retry, Avoid: t.Avoid, Fingerprint: quarantiner.Fingerprint(r.Fingerprint),
		Barred: barMessages(t), Again: t.Again, Warm: t.Warm,
		Customer: t.Customer, CustomerPriority: t.CustomerPriority, Charged: attempt.Charged,
	}})
	switch {
	case err != nil && ctx.Err() != nil:
		return nil, contextError(ctx)
	case err != nil:
		return nil, err
	case reply.Refusal != nil:
		refusal := pimento.NotRun(reply.Refusal.Reason, reply.Refusal.Detail)
		refusal.RetryAfter, refusal.By = reply.Refusal.RetryAfter, p.ID
		if refusal.Reason == pimento.ReasonElsewhere {
			refusal.Cause = &elsewhereError{pool: reply.Refusal.Pool}
		}
		return nil, refusal
	case reply.Permit != nil:
		return a.remotePermit(p, key, r, reply.Permit)
	default:
		return nil, &pimento.UnreachableError{Target: string(p.ID), Cause: errUnexpectedReply}
	}
}

// errUnexpectedReply is the cause if a dispatcher replies with neither a permit
// nor a refusal.
var errUnexpectedReply = errors.New("expected a permit or a refusal, got another message")

// remotePermit turns the permit of another process into one that reports the
// result to that process.
func (a *Admitter) remotePermit(p pimento.Process, key poolKey, request *pimento.Request, m *messenger.Permit) (forwarder.Permit, error) {
	address, err := netip.ParseAddrPort(m.Address)
	if err != nil {
		return nil, &pimento.UnreachableError{Target: string(p.ID), Cause: err}
	}
	s := pimento.Server{Name: m.Name, Service: key.service, Address: address, Domain: m.Domain, Started: time.UnixMilli(m.Started)}
	release := func(r scheduler.Result) {
		d := &messenger.Done{Service: key.service, Pool: key.index, Ticket: m.Ticket, Kind: string(r.Kind), Took: r.Took, ColdFor: r.ColdFor, Down: r.Down, Unsent: r.Unsent}
		d.Limited, d.Limit = r.Limit.Named, r.Limit.Rate
		d.Started = m.Started
		d.Leaving, d.PausedFor = a.noticesOf(s)
		if r.HasLoad {
			d.InFlight, d.Waiting, d.Slots, d.Slowness = r.Load.InFlight, r.Load.Waiting, max(1, r.Load.Slots), r.Load.Slowness
		}
		ctx, cancel := context.WithTimeout(context.Background(), doneTimeout)
		defer cancel()
		// If the message is lost, the dispatcher drops the permit after the deadline.
		if err := a.Peers.Send(ctx, p, &messenger.Message{Done: d}); err != nil {
			a.markUnreachable(ctx, p, err)
		}
	}
	basis := forwarder.Basis{Dispatcher: p.ID, Running: m.Running, Slots: m.Slots, Expected: m.Expected, Owners: m.Owners}
	return a.newPermit(s, request, basis, release), nil
}

// doneTimeout bounds the message that returns a permit.
const doneTimeout = 300 * time.Millisecond

// permit implements forwarder.Permit.
type permit struct {
	admitter    *Admitter
	server      pimento.Server
	fingerprint quarantiner.Fingerprint
	issuedAt    time.Time
	basis       forwarder.Basis
	client      *connector.Client
	release     func(scheduler.Result)
	result      scheduler.Result
}

// Upstream implements forwarder.Permit.
func (p *permit) Upstream() pimento.UpstreamName { return p.server.Name }

// Basis implements forwarder.Permit.
func (p *permit) Basis() forwarder.Basis { return p.basis }

// Serve implements forwarder.Permit.
func (p *permit) Serve(ctx context.Context, r *pimento.Request, body io.Reader) (pimento.Answer, pimento.AnswerMetadata, error) {
	body, err := p.identify(r, body)
	if err != nil {
		p.result = scheduler.Result{Kind: scheduler.ResultCanceled, Unsent: true}
		return pimento.Answer{}, pimento.AnswerMetadata{}, err
	}
	if wait := p.admitter.quarantineWait(p.fingerprint); wait > 0 {
		p.result = scheduler.Result{Kind: scheduler.ResultCanceled, Unsent: true}
		return pimento.Answer{}, pimento.AnswerMetadata{}, quarantineRefusal(wait)
	}
	if p.admitter.UpstreamsAge != nil {
		p.basis.UpstreamsAge = p.admitter.UpstreamsAge()
	}
	sentAt := time.Now()
	answer, metadata, err := p.client.Send(ctx, r, body)
	p.result = scheduler.Result{Kind: resultKind(answer, err), Took: time.Since(sentAt), Load: metadata.Load, HasLoad: metadata.HasLoad, ColdFor: metadata.ColdFor, Limit: metadata.Limit}
	p.result.Down = errors.Is(err, syscall.ECONNREFUSED)
	p.result.Unsent = isNotRun(err)
	p.admitter.observeLimit(sentAt, p.server.Name, metadata, err)
	p.admitter.delayRetry(p.server, err)
	return answer, metadata, err
}

// isNotRun reports whether a request certainly did not run, so that it cannot have crashed
// its upstream.
func isNotRun(err error) bool {
	var outcome *pimento.OutcomeError
	return errors.As(err, &outcome) && outcome.Outcome == pimento.OutcomeNotRun
}

// resultKind returns what the end of a request says about its upstream.
func resultKind(answer pimento.Answer, err error) scheduler.ResultKind {
	var failure *pimento.OutcomeError
	if err == nil {
		if answer.Head.Status >= 500 {
			return scheduler.ResultFailed
		}
		return scheduler.ResultAnswered
	}
	if !errors.As(err, &failure) {
		return scheduler.ResultBroken
	}
	switch failure.Reason {
	case pimento.ReasonMisdirected:
		return scheduler.ResultMisdirected
	case pimento.ReasonRefused:
		return scheduler.ResultRefused
	case pimento.ReasonTimeout:
		if isNotRun(err) {
			return scheduler.ResultCanceled
		}
		return scheduler.ResultTimeout
	case pimento.ReasonCallerGone, pimento.ReasonStopping, pimento.ReasonBodyCut, pimento.ReasonAvoided, pimento.ReasonUnauthorized, pimento.ReasonStaleManifest:
		return scheduler.ResultCanceled
	}
	if failure.Outcome == pimento.OutcomeNotRun {
		return scheduler.ResultUnreachable
	}
	return scheduler.ResultBroken
}

// Done implements forwarder.Permit.
func (p *permit) Done(err error) {
	answered := p.result.Kind == scheduler.ResultAnswered || p.result.Kind == scheduler.ResultFailed
	if err != nil && answered {
		p.result.Kind = resultKind(pimento.Answer{}, err)
	}
	if answered && err == nil {
		p.admitter.noteWarm(p.server)
	}
	p.admitter.recordSent(p)
	p.release(p.result)
}
