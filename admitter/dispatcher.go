package admitter

import (
	"time"

	"pimentorelay.example/pimento"
	"pimentorelay.example/pimento/messenger"
	"pimentorelay.example/pimento/scheduler"
)

// HandleAcquire handles the request of a peer for a permit. call identifies it
// for HandleCanceled.
func (a *Admitter) HandleAcquire(from *messenger.Link, call uint64, req *messenger.Acquire, reply func(*messenger.Message)) {
	now := time.Now()
	key := poolKey{service: req.Service, index: req.Pool}
	t := scheduler.Ticket{
		Route: req.Route, Priority: req.Priority, Key: req.Key, Domain: req.Domain, BodyBytes: req.Bytes,
		Arrived: now, GoalAt: now.Add(req.Goal), Deadline: now.Add(req.Left), Retry: req.Repeat, Avoid: req.Avoid, Again: req.Again, Warm: req.Warm, Barred: ticketBars(now, req.Barred),
	}
	t.Customer, t.CustomerPriority = req.Customer, req.CustomerPriority
	w := &waiter{link: from, call: call, fingerprint: req.Fingerprint, charged: req.Charged}
	w.answer = func(d scheduler.Decision) { reply(a.decisionMessage(key, t.Key, d)) }
	_, callbacks := a.submit(key, t, w)
	runAll(callbacks)
}

// decisionMessage returns the reply that reports a decision to a peer.
func (a *Admitter) decisionMessage(pool poolKey, key pimento.Key, d scheduler.Decision) *messenger.Message {
	if d.Refusal != nil {
		refusal := &messenger.Refusal{Reason: d.Refusal.Reason, Detail: d.Refusal.Detail, RetryAfter: d.Refusal.RetryAfter}
		if owner, ok := a.redirect(pool, key, d.Refusal); ok {
			refusal.Pool = owner
		} else if refusal.Reason == pimento.ReasonElsewhere {
			refusal.Reason = pimento.ReasonOverloaded // the owner is not known any more
		}
		return &messenger.Message{Refusal: refusal}
	}
	s, ok := a.server(d.Upstream)
	if !ok {
		return &messenger.Message{Refusal: &messenger.Refusal{Reason: pimento.ReasonNoOwner, Detail: "the upstream is gone"}}
	}
	return &messenger.Message{Permit: &messenger.Permit{
		Ticket: d.Ticket, Name: s.Name, Address: s.Address.String(), Started: s.Started.UnixMilli(), Domain: s.Domain,
		Running: d.Running, Slots: d.Slots, Expected: d.Expected.Round(time.Millisecond), Owners: a.ownersVersion(),
	}}
}

// ownersVersion returns the version of the known owners.
func (a *Admitter) ownersVersion() uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.state.OwnersVersion
}

// server returns the known entry of an upstream.
func (a *Admitter) server(name pimento.UpstreamName) (pimento.Server, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, u := range a.state.Upstreams {
		if u.Name == name {
			return u.Server, true
		}
	}
	return pimento.Server{}, false
}

// HandleDone handles the return of a permit by a peer.
func (a *Admitter) HandleDone(d *messenger.Done) {
	r := scheduler.Result{
		Kind: scheduler.ResultKind(d.Kind), Took: d.Took, ColdFor: d.ColdFor, HasLoad: d.Slots > 0,
		Load: pimento.LoadReport{InFlight: d.InFlight, Waiting: d.Waiting, Slots: d.Slots, Slowness: d.Slowness},
		Down: d.Down, Unsent: d.Unsent,
	}
	key := poolKey{service: d.Service, index: d.Pool}
	a.observeReportedNotice(key, d)
	a.observeReportedLimit(key, d.Ticket, r.Kind, pimento.LimitNotice{Named: d.Limited, Rate: d.Limit})
	a.releasePermit(key, d.Ticket, r)
}

// HandleCanceled cancels a request of a peer that waits for a permit.
func (a *Admitter) HandleCanceled(from *messenger.Link, call uint64) {
	a.init()
	a.cancelMatching(func(p *pool) (ids []uint64) {
		for id, w := range p.waiting {
			if w.link == from && w.call == call {
				ids = append(ids, id)
			}
		}
		return ids
	})
}

// HandleClosed cancels all requests of a closed link. Those with a permit may
// still run, but their end can no longer be reported.
func (a *Admitter) HandleClosed(from *messenger.Link) {
	a.init()
	now := time.Now()
	a.cancelMatching(func(p *pool) (ids []uint64) {
		for id, w := range p.waiting {
			if w.link == from {
				ids = append(ids, id)
			}
		}
		for id, l := range p.links {
			if l == from {
				a.recordLost(now, p, id)
				ids = append(ids, id)
			}
		}
		return ids
	})
}

// cancelMatching cancels the tickets that find returns for each pool.
func (a *Admitter) cancelMatching(find func(*pool) []uint64) {
	type entry struct {
		key poolKey
		id  uint64
	}
	a.mu.Lock()
	var list []entry
	for key, p := range a.pools {
		for _, id := range find(p) {
			list = append(list, entry{key: key, id: id})
		}
	}
	a.mu.Unlock()
	for _, e := range list {
		a.cancel(e.key, e.id)
	}
}

// Report returns, for the leader of an epoch, the requests per key since the last
// report, the present capacities of upstreams and the crashes that its state has not
// shown. Pools of services without keys report no load and no capacity.
func (a *Admitter) Report(epoch uint64) messenger.Report {
	a.init()
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	report := messenger.Report{CrashFacts: a.quarantine.Reports(now, epoch), Limits: a.limits.FreshReports(now)}
	report.Leaving, report.Paused = a.noticeReports()
	if report.Uses = a.account.Uses(now); len(report.Uses) > 0 {
		report.UsesEpoch = a.account.Epoch()
	}
	for key, p := range a.pools {
		s, _ := a.state.Service(key.service)
		if s.Sharing != pimento.SharingKeyed {
			continue
		}
		for k, n := range p.loads {
			report.Loads = append(report.Loads, messenger.KeyLoad{Service: key.service, Key: k, Count: n})
		}
		clear(p.loads)
		for name, c := range p.machine.Capacities(now) {
			report.Capacities = append(report.Capacities, messenger.UpstreamCapacity{Upstream: name, Capacity: c})
		}
	}
	return report
}

// Upstreams describes the upstreams of the pools that this process dispatches.
func (a *Admitter) Upstreams() []pimento.UpstreamReport {
	a.init()
	a.mu.Lock()
	defer a.mu.Unlock()
	var reports []pimento.UpstreamReport
	for key, p := range a.pools {
		if a.share(key) == 1 {
			reports = append(reports, p.machine.UpstreamReports(time.Now())...)
		}
	}
	return reports
}
