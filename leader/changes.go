package leader

import (
	"cmp"
	"slices"

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

// setOwners replaces the owners of the keys, sorted by service and range, and raises their
// version if they differ from those before.
func (t *term) setOwners(next []messenger.Owner) {
	if slices.EqualFunc(next, t.owners, sameOwner) {
		return
	}
	t.versions.Owners++
	changedAt := make([]uint64, len(next))
	i := 0
	for n, o := range next {
		for i < len(t.owners) && compareOwners(t.owners[i], o) < 0 {
			i++
		}
		changedAt[n] = t.versions.Owners
		if i < len(t.owners) && sameOwner(t.owners[i], o) {
			changedAt[n] = t.ownersChangedAt[i]
		}
	}
	t.owners, t.ownersChangedAt = slices.Clone(next), changedAt // states hold the owners
}

func compareOwners(a, b messenger.Owner) int {
	return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Range.From, b.Range.From))
}

// sameOwner compares all but the time until an owner is ready.
func sameOwner(a, b messenger.Owner) bool {
	return a.Range == b.Range && a.Ready == b.Ready && a.Upstream == b.Upstream && a.Service == b.Service
}

// changedOwners returns what a member lacks that has the owners as of a version or a later
// one, all of them if that is zero. It includes those that have changed back in between.
func (t *term) changedOwners(since uint64) *messenger.OwnerList {
	return t.ownerChanges.since(since, t.versions.Owners, func() *messenger.OwnerList {
		if since == 0 {
			return &messenger.OwnerList{Whole: true, Owners: t.owners}
		}
		out := &messenger.OwnerList{}
		for i, o := range t.owners {
			if t.ownersChangedAt[i] > since {
				out.Owners = append(out.Owners, o)
			}
		}
		return out
	})
}

// changedUpstreams returns what a member lacks that has the upstreams as of a version.
func (t *term) changedUpstreams(since uint64) *messenger.UpstreamList {
	return t.upstreamChanges.since(since, t.versions.Upstreams, func() *messenger.UpstreamList {
		return t.upstreams.message(timekeeper.Now(), since)
	})
}
