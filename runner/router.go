package runner

import (
	"math/rand/v2"
	"time"

	"pimentorelay.example/pimento"
)

// Route implements receiver.Router.
func (n *Node) Route(head *pimento.RequestHead) (pimento.Process, bool) {
	v := n.core.current.Load()
	service, ok := v.plan.Config.Service(head.Service)
	if !ok {
		return pimento.Process{}, false
	}
	if service.Sharing == pimento.SharingUnkeyed && (head.Idempotent || !head.CallerID) {
		head.Upstream, ok = n.choose(v, service.Name)
		if !ok {
			return pimento.Process{}, false
		}
		return dispatcherOf(v, head.Upstream)
	}
	head.Upstream = ""
	t, ok := v.plan.Table(service.Name)
	if !ok || len(t.Slices) == 0 {
		return pimento.Process{}, false
	}
	owner, ok := t.Slices[t.Index(head.KeyHash)].Owner(&v.withdrawn)
	if !ok {
		return pimento.Process{}, false
	}
	return dispatcherOf(v, owner)
}

func dispatcherOf(v *view, name pimento.UpstreamName) (pimento.Process, bool) {
	id, _, ok := v.plan.Dispatcher(name, &v.withdrawn)
	if !ok {
		return pimento.Process{}, false
	}
	return v.plan.Process(id)
}

// choose picks the less loaded of two upstreams drawn at random (Mitzenmacher,
// "The power of two choices in randomized load balancing", 2001).
func (n *Node) choose(v *view, service pimento.ServiceName) (pimento.UpstreamName, bool) {
	reports := *n.core.reports.Load()
	var able []pimento.Server
	for _, s := range v.plan.Config.Servers {
		lost := v.withdrawn.HasUpstream(s.Name) || reports[s.Name].report.Condition == pimento.ConditionLost
		if s.Service == service && !lost && v.plan.Config.Eligible(s) {
			able = append(able, s)
		}
	}
	if len(able) == 0 {
		return "", false
	}
	a, b := able[rand.IntN(len(able))], able[rand.IntN(len(able))]
	if pressure(reports[b.Name]) < pressure(reports[a.Name]) {
		a = b
	}
	return a.Name, true
}

// pressure is the number of requests at an upstream for each that it bears.
func pressure(s sighting) float64 {
	r := s.report
	return float64(r.InFlight+r.Queued+1) / float64(max(1, r.Limit))
}

// Config implements receiver.Router.
func (n *Node) Config() (*pimento.Config, bool) {
	v := n.core.current.Load()
	return &v.plan.Config, time.Now().Before(v.until)
}

// loseRecords notes that both copies of a record may be lost.
func (n *Node) loseRecords(now time.Time) {
	until := now.Add(recordsLostFor)
	n.events.Emit(pimento.EventRecordsLost, "Until", until)
	n.dispatcher.RecordsLost(until)
}
