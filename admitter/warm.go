package admitter

import (
	"slices"
	"time"

	"pimentorelay.example/pimento"
)

const (
	// maxWarm bounds the upstreams of a service that are remembered as having had a
	// connection of this process last.
	maxWarm = 16
	// maxWarmNamed bounds those that one request for a permit names.
	maxWarmNamed = 6
)

// warm holds, for each service whose requests any upstream can run, the runs to which this
// process sent last, the latest at the end. A dispatcher that can choose takes one of them,
// so that a process needs few connections.
type warm map[pimento.ServiceName][]runKey

// used records that a request to a run was answered.
func (w warm) used(service pimento.ServiceName, key runKey) {
	list := slices.DeleteFunc(w[service], func(k runKey) bool { return k == key })
	list = append(list, key)
	w[service] = list[max(0, len(list)-maxWarm):]
}

// noteWarm records that this process has just had an answer of a run. The caller does not
// hold mu.
func (a *Admitter) noteWarm(s pimento.Server) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if service, ok := a.state.Service(s.Service); ok && service.Sharing == pimento.SharingKeyed {
		return
	}
	a.warm.used(s.Service, runKeyOf(s))
}

// warmUpstreams returns the upstreams of a pool to which this process has an idle
// connection, the last used first.
func (a *Admitter) warmUpstreams(pool poolKey) []pimento.UpstreamName {
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	count := len(a.state.poolsOf(pool.service))
	var out []pimento.UpstreamName
	for _, key := range slices.Backward(a.warm[pool.service]) {
		r, ok := a.clients[key]
		if !ok || pimento.PoolOf(key.name, count) != pool.index || !r.client.HasIdleConn(now) {
			continue
		}
		if out = append(out, key.name); len(out) == maxWarmNamed {
			break
		}
	}
	return out
}
