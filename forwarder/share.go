package forwarder

import (
	"slices"

	"pimentorelay.example/pimento"
)

// share deals the requests of a route to its targets by weight, so that the
// shares hold exactly in any stretch of requests (smooth weighted round robin).
type share struct {
	targets []pimento.Target
	credit  []int
}

// target returns the service of the route's next request.
func (f *Forwarder) target(r *pimento.Route) pimento.ServiceName {
	if len(r.Targets) == 1 {
		return r.Targets[0].Service
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	s, ok := f.shares[r.Name]
	if !ok || !slices.Equal(s.targets, r.Targets) {
		s = &share{targets: r.Targets, credit: make([]int, len(r.Targets))}
		if f.shares == nil {
			f.shares = make(map[pimento.RouteName]*share)
		}
		f.shares[r.Name] = s
	}
	return s.next()
}

func (s *share) next() pimento.ServiceName {
	best, sum := 0, 0
	for i, t := range s.targets {
		s.credit[i] += t.Weight
		sum += t.Weight
		if s.credit[i] > s.credit[best] {
			best = i
		}
	}
	s.credit[best] -= sum
	return s.targets[best].Service
}
