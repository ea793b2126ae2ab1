package leader

import (
	"cmp"

	"pimentorelay.example/pimento/messenger"
	"pimentorelay.example/pimento/timekeeper"
)

// changes holds the changes up to one version of a part of the state, by the version
// that they are changes of. Most members have the same version, so the changes are found
// once for all of them.
type changes[T any] struct {
	to   uint64
	from map[uint64]*T
}

// since returns the changes from a version on, and finds them if they are not known yet.
func (c *changes[T]) since(from, to uint64, find func() *T) *T {
	if c.from == nil || c.to != to {
		*c = changes[T]{to: to, from: make(map[uint64]*T)}
	}
	out, found := c.from[from]
	if !found {
		out = find()
		c.from[from] = out
	}
	return out
}

// changedOwners returns the owners that differ from those acknowledged before, or all
// if there were none. Both are sorted by service and range.
func changedOwners(now, acked []messenger.Owner) *messenger.OwnerList {
	if acked == nil {
		return &messenger.OwnerList{Whole: true, Owners: now}
	}
	out := &messenger.OwnerList{}
	i := 0
	for _, o := range now {
		for i < len(acked) && compareOwners(acked[i], o) < 0 {
			i++
		}
		if i == len(acked) || !sameOwner(acked[i], o) {
			out.Owners = append(out.Owners, o)
		}
	}
	return out
}

func compareOwners(a, b messenger.Owner) int {
	return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Range.From, b.Range.From))
}

// sameOwner compares all but the time until an owner is ready.
func sameOwner(a, b messenger.Owner) bool {
	return a.Range == b.Range && a.Ready == b.Ready && a.Upstream == b.Upstream && a.Service == b.Service
}

// changedOwners returns the owners that differ from those that a member has acknowledged.
func (t *term) changedOwners(acked snapshot) *messenger.OwnerList {
	return t.ownerChanges.since(acked.versions.Owners, t.versions.Owners, func() *messenger.OwnerList {
		return changedOwners(t.owners, acked.owners)
	})
}

// changedUpstreams returns the upstreams that differ from those that a member has
// acknowledged.
func (t *term) changedUpstreams(acked snapshot) *messenger.UpstreamList {
	return t.upstreamChanges.since(acked.versions.Upstreams, t.versions.Upstreams, func() *messenger.UpstreamList {
		return t.upstreams.message(timekeeper.Now(), acked.upstreams)
	})
}
