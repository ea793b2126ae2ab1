// Package cacher keeps the decoded entries of one kind of the platform's store, and
// reads only what has changed since.
//
// A listing of a kind takes a call for each page, so its price grows with the number of
// entries. A watch that does not wait takes one call and shows every change that was
// acknowledged before it began. A watch that waits is no such read: it may be cut off,
// or end without the changes that came while it waited.
//
// # Usage
//
//	c := &cacher.Cache[pimento.Server]{Store: store, Kind: kind, Decode: decode}
//	servers, err := c.Read(ctx)
package cacher

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"pimentorelay.example/pimento"
	"pimentorelay.example/pimento/timekeeper"
)

const (
	// watchWait is the wait of a watch that is to answer at once, the shortest that a
	// store takes.
	watchWait = time.Millisecond
	// listInterval is the time after which all entries are listed again, in case that
	// changes were missed.
	listInterval = 5 * time.Second
)

// Cache holds the entries of one kind as they were last read. Set the exported fields
// before use.
type Cache[T any] struct {
	Store pimento.Store
	Kind  pimento.StoreKind
	// Decode decodes an entry that was read at a time, by the clock of timekeeper.
	Decode func(e pimento.Entry, readAt time.Time) (T, error)
	// OnInvalid is called for each entry that cannot be decoded; it may be nil.
	OnInvalid func(name string, err error)

	mu    sync.Mutex
	known contents[T]
}

// contents is what a read has shown. It is not modified.
type contents[T any] struct {
	revision pimento.Revision // to continue from
	pages    int              // that the last listing took
	listedAt time.Time
	items    map[string]item[T] // by the name of the entry
}

// item is a decoded entry.
type item[T any] struct {
	revision pimento.Revision
	valid    bool
	value    T
}

// Read returns the valid entries in the order of their names. They show every change that
// was acknowledged before the call. Its errors are those of the store.
func (c *Cache[T]) Read(ctx context.Context) ([]T, error) {
	c.mu.Lock()
	known := c.known
	c.mu.Unlock()
	next, err := c.readAfter(ctx, known)
	if err != nil {
		return nil, fmt.Errorf("Cache.Read: %w", err)
	}
	c.mu.Lock()
	c.known = next
	c.mu.Unlock()
	return next.values(), nil
}

// readAfter reads what has changed since known, or everything if that takes one call too
// or is due.
func (c *Cache[T]) readAfter(ctx context.Context, known contents[T]) (contents[T], error) {
	if known.pages <= 1 || timekeeper.Now().Sub(known.listedAt) >= listInterval {
		return c.list(ctx, known)
	}
	changes, err := c.Store.Watch(ctx, c.Kind, known.revision, watchWait)
	var gone *pimento.HistoryGoneError
	if errors.As(err, &gone) {
		return c.list(ctx, known)
	}
	if err != nil {
		return contents[T]{}, err
	}
	return c.apply(known, changes), nil
}

// list reads all entries. Those that are the same as before are not decoded again: what
// they say of time counts from when they were first read.
func (c *Cache[T]) list(ctx context.Context, known contents[T]) (contents[T], error) {
	listedAt := timekeeper.Now()
	l, err := c.Store.List(ctx, c.Kind, pimento.FreshnessLatest)
	if err != nil {
		return contents[T]{}, err
	}
	now := timekeeper.Now()
	next := contents[T]{revision: l.Revision, pages: l.Pages, listedAt: listedAt, items: make(map[string]item[T], len(l.Entries))}
	for _, e := range l.Entries {
		if old, ok := known.items[e.Name]; ok && old.revision == e.Revision {
			next.items[e.Name] = old
			continue
		}
		next.items[e.Name] = c.decode(e, now)
	}
	return next, nil
}

// apply returns the contents after changes. A listing of several pages may show changes
// that the next watch repeats.
func (c *Cache[T]) apply(known contents[T], changes pimento.Changes) contents[T] {
	if len(changes.Changes) == 0 {
		return known
	}
	now := timekeeper.Now()
	next := known
	next.revision, next.items = changes.Revision, maps.Clone(known.items)
	for _, x := range changes.Changes {
		old, ok := next.items[x.Entry.Name]
		switch {
		case ok && old.revision.After(x.Entry.Revision):
		case x.Removed:
			delete(next.items, x.Entry.Name)
		case !ok || old.revision != x.Entry.Revision:
			next.items[x.Entry.Name] = c.decode(x.Entry, now)
		}
	}
	return next
}

func (c *Cache[T]) decode(e pimento.Entry, readAt time.Time) item[T] {
	value, err := c.Decode(e, readAt)
	if err != nil && c.OnInvalid != nil {
		c.OnInvalid(e.Name, err)
	}
	return item[T]{revision: e.Revision, valid: err == nil, value: value}
}

// values returns the valid entries in the order of their names.
func (c contents[T]) values() []T {
	var out []T
	for _, name := range slices.Sorted(maps.Keys(c.items)) {
		if x := c.items[name]; x.valid {
			out = append(out, x.value)
		}
	}
	return out
}
