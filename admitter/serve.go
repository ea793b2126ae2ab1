package admitter

import (
	"time"

	"pimentorelay.example/pimento"
	"pimentorelay.example/pimento/messenger"
	"pimentorelay.example/pimento/scheduler"
)

// HandleAcquire takes a request for a permit from a peer. call identifies it
// for Canceled.
func (a *Admitter) HandleAcquire(from *messenger.Link, call uint64, q *messenger.Acquire, reply func(*messenger.Message)) {
	now := time.Now()
	key := poolKey{service: q.Service, index: q.Pool}
	t := scheduler.Ticket{
		Route: q.Route, Priority: q.Priority, Key: q.Key, Domain: q.Domain, Bytes: q.Bytes,
		Arrived: now, GoalAt: now.Add(q.Goal), Deadline: now.Add(q.Left), Repeat: q.Repeat, Avoid: q.Avoid,
	}
	w := &waiter{link: from, call: call, print: q.Print}
	w.answer = func(d scheduler.Decision) { reply(a.message(d)) }
	_, out := a.offer(key, t, w)
	runAll(out)
}

// message tells a peer of a decision.
func (a *Admitter) message(d scheduler.Decision) *messenger.Message {
	if d.Refusal != nil {
		return &messenger.Message{Refusal: &messenger.Refusal{Reason: d.Refusal.Reason, Detail: d.Refusal.Detail, RetryAfter: d.Refusal.RetryAfter}}
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

// ownersVersion returns the version of the owners that are known here.
func (a *Admitter) ownersVersion() uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.board.OwnersVersion
}

// server returns what the board says of an upstream.
func (a *Admitter) server(name pimento.UpstreamName) (pimento.Server, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, u := range a.board.Upstreams {
		if u.Name == name {
			return u.Server, true
		}
	}
	return pimento.Server{}, false
}

// HandleDone takes a permit back from a peer.
func (a *Admitter) HandleDone(d *messenger.Done) {
	r := scheduler.Result{
		Kind: scheduler.ResultKind(d.Kind), Took: d.Took, ColdFor: d.ColdFor, HasLoad: d.Slots > 0,
		Load: pimento.LoadReport{InFlight: d.InFlight, Waiting: d.Waiting, Slots: d.Slots, Slowness: d.Slowness},
	}
	a.done(poolKey{service: d.Service, index: d.Pool}, d.Ticket, r)
}

// HandleCanceled says that a peer waits no more for a permit.
func (a *Admitter) HandleCanceled(from *messenger.Link, call uint64) {
	a.init()
	a.each(func(p *pool) (ids []uint64) {
		for id, w := range p.waiting {
			if w.link == from && w.call == call {
				ids = append(ids, id)
			}
		}
		return ids
	})
}

// HandleClosed says that nothing more comes from a link. Its requests may
// still run, but nobody would tell of their end.
func (a *Admitter) HandleClosed(from *messenger.Link) {
	a.init()
	a.each(func(p *pool) (ids []uint64) {
		for id, w := range p.waiting {
			if w.link == from {
				ids = append(ids, id)
			}
		}
		for id, l := range p.links {
			if l == from {
				delete(p.links, id)
				ids = append(ids, id)
			}
		}
		return ids
	})
}

// each cancels the requests that find returns for each pool.
func (a *Admitter) each(find func(*pool) []uint64) {
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

// Report returns what was measured since the last report: the loads of keys,
// what the upstreams of the pools bear, and which requests crashed upstreams.
func (a *Admitter) Report() messenger.Report {
	a.init()
	a.mu.Lock()
	defer a.mu.Unlock()
	out := messenger.Report{Strikes: a.crash.Strikes()}
	for key, p := range a.pools {
		s, _ := a.board.Service(key.service)
		if s.Sharing != pimento.SharingKeyed {
			continue
		}
		for k, n := range p.loads {
			out.Loads = append(out.Loads, messenger.KeyLoad{Service: key.service, Key: k, Count: n})
		}
		clear(p.loads)
		for name, c := range p.machine.Capacities(time.Now()) {
			out.Speeds = append(out.Speeds, messenger.Speed{Upstream: name, Capacity: c})
		}
	}
	return out
}

// Upstreams describes the upstreams of the pools that this process dispatches.
func (a *Admitter) Upstreams() []pimento.UpstreamReport {
	a.init()
	a.mu.Lock()
	defer a.mu.Unlock()
	var out []pimento.UpstreamReport
	for key, p := range a.pools {
		if a.rank(key) == 0 {
			out = append(out, p.machine.Reports(time.Now())...)
		}
	}
	return out
}
