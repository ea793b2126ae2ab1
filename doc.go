// Package pimento defines the domain types of pimentorelay, a router for
// upstreams that own keys exclusively.
//
// These are the configuration in force ([Manifest], and [Config] for a sheet),
// the decisions in the store ([Assignment]), the processes that carry them out
// ([Process]), the upstreams ([Server]), the requests of callers ([Request])
// and how each ended ([Outcome]). The package also defines the interfaces whose
// implementations vary: [Store] for durable state, [Source] for what operators
// and upstreams wrote, and the protocols towards callers and upstreams
// ([CallerWire], [UpstreamWire]).
//
// # Decisions
//
// An [Assignment] is one entry of the store, replaced by conditional writes. Its
// [Term] names the leader. Its tables name for every range of keys the run of an
// upstream that holds it, with a fence that only grows, and the former holder as
// long as it may still hold the range. Its pools name the dispatching processes.
// Package elector decides whether a leader may act, package keeper when a range
// may be granted.
//
// # Usage
//
//	routes := pimento.NewRouteTable(manifest.Routes)
//	route, ok := routes.Match("jepu9.example", "/lepu270/2f")
//	if err := assignment.Validate(); err != nil {
//		return err
//	}
//	table := assignment.Table("guidebook")
//	holding := table.Holdings[table.Index(key)]
//
// The project's own formats write fields in Pascal case, under their names here or
// in the field's tag. Messages between processes carry remaining durations, since
// the clocks of two hosts need not agree; inside a process these are stored as
// deadlines.
package pimento
