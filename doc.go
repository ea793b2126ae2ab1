// Package pimento holds the domain of pimentorelay, a router for upstreams
// that own keys exclusively.
//
// The package defines the nouns that every other package speaks about: what
// operators put in force ([Manifest], and [Config] where a sheet describes it),
// the decisions that stand in the store ([Assignment]), the processes that
// carry them out ([Process]), the upstreams ([Server]), the requests of callers
// ([Request]) and how each ended ([Outcome]). It also holds the interfaces for
// what varies: [Store], which keeps what must last, [Source], which reads what
// operators and upstreams wrote, and the wires to callers and upstreams
// ([CallerWire], [UpstreamWire]).
//
// # Decisions
//
// An [Assignment] is one entry of the store, replaced by conditional writes. Its
// [Term] says who leads. Its tables say for every range of keys which run of an
// upstream holds it, with a fence that only grows, and which one held it before
// as long as that one may still do so. Its pools say which processes dispatch.
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
//	holding := assignment.Table("guidebook").Holdings[table.Index(key)]
//
// All fields are written in Pascal case in every format of the project, the
// way they are named here. Times on a wire between processes are remaining
// durations, since the clocks of two hosts need not agree; inside a process
// they are stored as deadlines.
package pimento
