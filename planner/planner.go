// Package planner works out the next plan. It is a pure function of what the
// writer of a plan knows, so that it can be tested without a clock or a wire.
//
// Rules, in this order: a process that has ended or lost its authority is
// dropped; confirmers are spread over failure domains; every upstream gets a
// dispatcher in its own failure domain where one lives, and standbys
// elsewhere; every slice keeps its owner unless the owner may not have it;
// orphans go to their first standby that may; then single slices move from the
// most to the least loaded upstream, a few at a time, until no upstream bears
// more than its share by a bound.
//
// # Usage
//
//	next, changed := planner.Next(planner.Input{Self: id, Prior: plan, ...})
//	if changed { /* write next with one conditional write */ }
package planner

import (
	"cmp"
	"math"
	"slices"

	"pimentorelay.example/pimento"
)

const (
	// maxConfirmers is the most processes that confirm others.
	maxConfirmers = 9
	// standbys is how many dispatchers and owners stand by.
	standbys = 2
	// slicesKeyed is the number of slices of a service divided by key.
	slicesKeyed = 128
	// slicesUnkeyed is the number of slices that give request IDs of an
	// unkeyed service a home.
	slicesUnkeyed = 64
	// maxShare is the load over its share at which an upstream gives slices up.
	maxShare = 1.10
	// minShare is the load over its share below which an upstream that could
	// take more is given slices.
	minShare = 0.85
	// movesPerPlan bounds the slices that move in one plan for balance.
	movesPerPlan = 8
	// baseWeight is the weight of a slice without requests, in requests a
	// second.
	baseWeight = 4.0
)

// Input is what the writer of a plan knows.
type Input struct {
	Self          pimento.ProcessID
	Prior         pimento.Plan // zero: there is none yet
	Config        pimento.Config
	ConfigVersion uint64
	Registered    []pimento.Process // registered and heard of, or listed before
	Ended         map[pimento.ProcessID]bool
	Suspected     map[pimento.ProcessID]bool
	Reports       map[pimento.UpstreamName]pimento.UpstreamReport
	Loads         map[pimento.SliceID]float64 // requests a second
	Balance       bool                        // whether slices may move for balance now
}

// Next returns the plan that should follow, and whether it differs from the
// prior one.
func Next(in Input) (pimento.Plan, bool) {
	p := pimento.Plan{
		Epoch:         in.Prior.Epoch + 1,
		Writer:        in.Self,
		Config:        in.Config,
		ConfigVersion: in.ConfigVersion,
	}
	p.Processes = processes(in)
	p.Confirmers = confirmers(in, p.Processes)
	p.PriorConfirmers = slices.DeleteFunc(slices.Clone(in.Prior.Confirmers), func(id pimento.ProcessID) bool { return in.Ended[id] })
	p.Upstreams = dispatchers(in, p.Processes)
	for _, s := range in.Config.Services {
		p.Services = append(p.Services, table(in, s))
	}
	return p, differs(&in.Prior, &p)
}

// differs reports whether two plans decide different things.
func differs(a, b *pimento.Plan) bool {
	sameProcesses := slices.EqualFunc(a.Processes, b.Processes, func(x, y pimento.Process) bool {
		return x.ID == y.ID && x.Leaving == y.Leaving
	})
	sameDispatchers := slices.EqualFunc(a.Upstreams, b.Upstreams, func(x, y pimento.DispatcherPlan) bool {
		return x.Upstream == y.Upstream && slices.Equal(x.Dispatchers, y.Dispatchers)
	})
	sameTables := slices.EqualFunc(a.Services, b.Services, func(x, y pimento.ServicePlan) bool {
		return x.Service == y.Service && slices.EqualFunc(x.Slices, y.Slices, func(s, t pimento.Slice) bool {
			return s.Start == t.Start && slices.Equal(s.Owners, t.Owners)
		})
	})
	// A plan whose prior confirmers are others is followed by one where they
	// are the same, so that those who have left are needed no more.
	return a.ConfigVersion != b.ConfigVersion || !sameProcesses || !sameDispatchers || !sameTables ||
		!slices.Equal(a.Confirmers, b.Confirmers) || !slices.Equal(a.PriorConfirmers, a.Confirmers)
}

// processes lists what lives, in the order of the prior plan, new ones last.
func processes(in Input) []pimento.Process {
	var out []pimento.Process
	for _, p := range in.Registered {
		if !in.Ended[p.ID] && !in.Suspected[p.ID] {
			out = append(out, p)
		}
	}
	place := func(p pimento.Process) int {
		i := slices.IndexFunc(in.Prior.Processes, func(x pimento.Process) bool { return x.ID == p.ID })
		if i < 0 {
			return math.MaxInt
		}
		return i
	}
	slices.SortFunc(out, func(a, b pimento.Process) int {
		return cmp.Or(cmp.Compare(place(a), place(b)), cmp.Compare(a.ID, b.ID))
	})
	return out
}

// confirmers keeps those who live and fills up from the failure domains that
// have the fewest.
func confirmers(in Input, live []pimento.Process) []pimento.ProcessID {
	var out []pimento.ProcessID
	perDomain := make(map[pimento.DomainName]int)
	add := func(p pimento.Process) {
		out = append(out, p.ID)
		perDomain[p.Domain]++
	}
	for _, p := range live {
		if slices.Contains(in.Prior.Confirmers, p.ID) && !p.Leaving {
			add(p)
		}
	}
	for len(out) < maxConfirmers {
		best, ok := least(live, func(p pimento.Process) (int, bool) {
			return perDomain[p.Domain], !p.Leaving && !slices.Contains(out, p.ID)
		})
		if !ok {
			break
		}
		add(best)
	}
	if len(out) == 0 { // all are leaving: the last ones still confirm
		for _, p := range live {
			add(p)
		}
	}
	return out
}

// dispatchers gives every upstream its line of dispatchers.
func dispatchers(in Input, live []pimento.Process) []pimento.DispatcherPlan {
	able := slices.DeleteFunc(slices.Clone(live), func(p pimento.Process) bool { return !takesWork(&in.Config, p) })
	if len(able) == 0 {
		able = live
	}
	load := make(map[pimento.ProcessID]int)
	primary := make(map[pimento.UpstreamName]pimento.ProcessID)
	for _, s := range in.Config.Servers {
		old := first(in.Prior.Dispatchers(s.Name))
		if p, ok := findProcess(able, old); ok && (p.Domain == in.Config.DomainOf(s) || !lives(able, in.Config.DomainOf(s))) {
			primary[s.Name] = old
			load[old]++
		}
	}
	var out []pimento.DispatcherPlan
	for _, s := range in.Config.Servers {
		if primary[s.Name] == "" {
			primary[s.Name] = choose(able, in.Config.DomainOf(s), load)
			load[primary[s.Name]]++
		}
	}
	level(able, load, primary, &in.Config)
	for _, s := range in.Config.Servers {
		line := standbyLine(able, primary[s.Name], in.Prior.Dispatchers(s.Name), load)
		out = append(out, pimento.DispatcherPlan{Upstream: s.Name, Dispatchers: line})
	}
	return out
}

// level moves primaries within a failure domain from a process with at least
// two more than another.
func level(able []pimento.Process, load map[pimento.ProcessID]int, primary map[pimento.UpstreamName]pimento.ProcessID, config *pimento.Config) {
	for _, s := range config.Servers {
		from, ok := findProcess(able, primary[s.Name])
		if !ok {
			continue
		}
		to, ok := least(able, func(p pimento.Process) (int, bool) { return load[p.ID], p.Domain == from.Domain })
		if ok && load[from.ID]-load[to.ID] >= 2 {
			primary[s.Name] = to.ID
			load[from.ID]--
			load[to.ID]++
		}
	}
}

// takesWork reports whether a process may dispatch.
func takesWork(c *pimento.Config, p pimento.Process) bool {
	if d, ok := c.Domain(p.Domain); ok && d.State == pimento.StateOut {
		return false
	}
	if h, ok := c.Host(p.Host); ok && h.State == pimento.StateLeaving {
		return false
	}
	return !p.Leaving
}

func lives(able []pimento.Process, domain pimento.DomainName) bool {
	return slices.ContainsFunc(able, func(p pimento.Process) bool { return p.Domain == domain })
}

// choose picks the process with the fewest upstreams, in the upstream's own
// failure domain if one lives there.
func choose(able []pimento.Process, domain pimento.DomainName, load map[pimento.ProcessID]int) pimento.ProcessID {
	near := lives(able, domain)
	best, _ := least(able, func(p pimento.Process) (int, bool) { return load[p.ID], !near || p.Domain == domain })
	return best.ID
}

// standbyLine puts the primary first and then standbys, each in a failure
// domain of its own where possible. Standbys of before are kept.
func standbyLine(able []pimento.Process, primary pimento.ProcessID, before []pimento.ProcessID, load map[pimento.ProcessID]int) []pimento.ProcessID {
	if primary == "" {
		return nil
	}
	line := []pimento.ProcessID{primary}
	used := map[pimento.DomainName]int{domainOf(able, primary): 1}
	for len(line) <= standbys {
		next, ok := least(able, func(p pimento.Process) (int, bool) {
			cost := used[p.Domain]*1000 + load[p.ID]
			if i := slices.Index(before, p.ID); i > 0 {
				cost = used[p.Domain]*1000 - standbys + i
			}
			return cost, !slices.Contains(line, p.ID)
		})
		if !ok {
			break
		}
		line = append(line, next.ID)
		used[next.Domain]++
	}
	return line
}

func domainOf(list []pimento.Process, id pimento.ProcessID) pimento.DomainName {
	p, _ := findProcess(list, id)
	return p.Domain
}

func findProcess(list []pimento.Process, id pimento.ProcessID) (pimento.Process, bool) {
	i := slices.IndexFunc(list, func(p pimento.Process) bool { return p.ID == id })
	if i < 0 {
		return pimento.Process{}, false
	}
	return list[i], true
}

func first(list []pimento.ProcessID) pimento.ProcessID {
	if len(list) == 0 {
		return ""
	}
	return list[0]
}

// least returns the first item with the lowest cost among those allowed.
func least[T any, C cmp.Ordered](items []T, cost func(T) (C, bool)) (T, bool) {
	var best T
	var low C
	found := false
	for _, x := range items {
		if c, ok := cost(x); ok && (!found || c < low) {
			best, low, found = x, c, true
		}
	}
	return best, found
}
