// Package pimento holds the domain of pimentorelay, a router for upstreams
// that own keys exclusively.
//
// The package defines the nouns that every other package speaks about: the
// configuration that operators accept ([Config]), the decisions that are in
// force ([Plan]), the processes that carry them out ([Process]), the requests
// of callers ([RequestHead]) and how each ended ([Outcome]). It also holds the
// interfaces for what varies: [Platform], the object API that keeps what must
// last, and [Upstream], one server that owns keys.
//
// # Decisions and rights
//
// A [Plan] is one object in the platform, replaced by conditional writes. Its
// Epoch grows by one with each write. A plan names for every key range (a
// [Slice]) an ordered list of owners, and for every upstream an ordered list
// of dispatchers, the processes that alone may speak to it. The first pair
// that is not withdrawn has the right to the slice. Package confirmer decides
// when a process has authority, package claimer when a right may be used.
//
// # Usage
//
//	plan := pimento.Plan{...}
//	if err := plan.Validate(); err != nil {
//		return err
//	}
//	hash := pimento.HashKey("soum-17")
//	slice, ok := plan.Lookup("guidebook", hash)
//
// All fields are written in Pascal case in every format of the project, the
// way they are named here. Times on a wire between processes are remaining
// durations, since the clocks of two hosts need not agree; inside a process
// they are stored as deadlines.
package pimento
