package router

import (
	"pimentorelay.example/pimento"
	"pimentorelay.example/pimento/acceptor"
	"pimentorelay.example/pimento/meter"
)

const (
	// callersMemoryShare is the share of the memory of a process that callers may take, as
	// package acceptor counts it: garbage, upstreams, other processes and what is known of them
	// need the rest.
	callersMemoryShare = 0.3
	// minLargestRequests is how many of the largest requests that are allowed fit in any case.
	minLargestRequests = 2
)

// callersBudget returns the budget for the memory of callers, nil if there is none.
func (r *Router) callersBudget() *meter.Budget {
	if r.Memory == 0 {
		return nil
	}
	var m pimento.Manifest
	m.Defaults()
	largest := acceptor.LargestRequestCost(m.Limits)
	return &meter.Budget{
		Limit: max(int64(callersMemoryShare*float64(r.Memory)), minLargestRequests*largest), MinShare: largest,
		OnEvicted: r.observer.callerEvicted,
	}
}
