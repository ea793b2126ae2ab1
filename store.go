package pimento

import (
	"context"
	"time"
)

// StoreKind groups the entries of the platform's store.
type StoreKind string

// Entry is one object of the platform's store. Revisions come from one counter of the
// whole store and only grow within an era; zero means that the entry does not exist.
type Entry struct {
	Kind     StoreKind
	Name     string
	Revision Revision
	Value    []byte // JSON
}

// Listing is all entries of a kind as of a revision of the store.
type Listing struct {
	Entries  []Entry
	Revision Revision
	Pages    int // how many calls it took
}

// Change is an entry that was written or removed.
type Change struct {
	Entry   Entry
	Removed bool
}

// Changes are the changes of a kind up to a revision of the store. Without any,
// Revision is the one that the watch started from: a watch that reports nothing may
// have missed changes, and the next one reports them only if it does not start
// behind them.
type Changes struct {
	Changes  []Change
	Revision Revision
}

// Freshness says how stale the answer to a read may be.
type Freshness string

// The kinds of freshness.
const (
	// FreshnessLatest includes every write that was acknowledged before.
	FreshnessLatest Freshness = "Latest"
	// FreshnessStale may be seconds old, but costs the store little.
	FreshnessStale Freshness = "Stale"
)

// Store is the platform's object API. Methods return *UnreachableError if no
// usable answer arrived; a write may then have taken effect, or may do so later.
// They return *BusyError if the store rejected the call without any effect.
type Store interface {
	// Get returns an entry, or *NotFoundError.
	Get(ctx context.Context, kind StoreKind, name string) (Entry, error)
	// List returns all entries of a kind.
	List(ctx context.Context, kind StoreKind, fresh Freshness) (Listing, error)
	// Watch returns the changes since a revision as soon as there are any, or
	// none after wait. With the shortest wait, of a millisecond, it returns all changes
	// that were acknowledged before the call. After *HistoryGoneError, also if the store
	// was restored since the revision, the caller must List again.
	Watch(ctx context.Context, kind StoreKind, after Revision, wait time.Duration) (Changes, error)
	// Create creates an entry, or returns *ExistsError.
	Create(ctx context.Context, e Entry) (Entry, error)
	// Replace writes an entry if its revision is e.Revision, or returns
	// *ConflictError or *NotFoundError. If the store was restored meanwhile, the entry
	// with that number may be another one; the era of the result tells.
	Replace(ctx context.Context, e Entry) (Entry, error)
	// Delete removes an entry if its revision is e.Revision, or returns
	// *ConflictError or *NotFoundError.
	Delete(ctx context.Context, e Entry) error
}
