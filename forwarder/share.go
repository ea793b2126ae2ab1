package forwarder

import (
	"math/rand/v2"
	"slices"

	"pimentorelay.example/pimento"
)

// targetPicker distributes the requests of a route to its targets by smooth
// weighted round robin, so that the weights also hold over short sequences. It
// begins at a random place of the sequence, so that they hold over all processes
// too while each has handled few requests.
type targetPicker struct {
	targets []pimento.Target
	credit  []int
}

// nextTarget returns the service of the route's next request.
func (f *Forwarder) nextTarget(r *pimento.Route) pimento.ServiceName {
	if len(r.Targets) == 1 {
		return r.Targets[0].Service
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	p, ok := f.pickers[r.Name]
	if !ok || !slices.Equal(p.targets, r.Targets) {
		p = newTargetPicker(r.Targets)
		if f.pickers == nil {
			f.pickers = make(map[pimento.RouteName]*targetPicker)
		}
		f.pickers[r.Name] = p
	}
	return p.next()
}

// maxSkipped bounds the requests that a new targetPicker skips.
const maxSkipped = 1000

func newTargetPicker(targets []pimento.Target) *targetPicker {
	p := &targetPicker{targets: targets, credit: make([]int, len(targets))}
	sum := 0
	for _, t := range targets {
		sum += t.Weight
	}
	for range rand.N(max(1, min(sum, maxSkipped))) {
		p.next()
	}
	return p
}

func (p *targetPicker) next() pimento.ServiceName {
	best, sum := 0, 0
	for i, t := range p.targets {
		p.credit[i] += t.Weight
		sum += t.Weight
		if p.credit[i] > p.credit[best] {
			best = i
		}
	}
	p.credit[best] -= sum
	return p.targets[best].Service
}
