package pimento

import (
	"context"
	"time"
)

// StoreKind groups the entries of the platform's store.
type StoreKind string

// Entry is one object of the platform's store. Revisions come from one counter
// of the whole store and only grow; zero means that the entry does not exist.
type Entry struct {
	Kind     StoreKind
	Name     string
	Revision uint64
	Value    []byte // JSON
}

// Listing is all entries of a kind as of a revision of the store.
type Listing struct {
	Entries  []Entry
	Revision uint64
}

// Change is an entry that was written or removed.
type Change struct {
	Entry   Entry
	Removed bool
}

// Changes are what happened to a kind up to a revision of the store.
type Changes struct {
	Changes  []Change
	Revision uint64
}

// Freshness says how old the answer to a read may be.
type Freshness string

// The kinds of freshness.
const (
	// FreshnessLatest includes every write that was acknowledged before.
	FreshnessLatest Freshness = "Latest"
	// FreshnessStale may be seconds old, and costs the store little.
	FreshnessStale Freshness = "Stale"
)

// Store is the platform's object API. Methods return *UnreachableError where
// no answer arrived, and then a write may have taken effect or may do so
// later; *BusyError where the store says that it did nothing.
type Store interface {
	// Get returns an entry, or *NotFoundError.
	Get(ctx context.Context, kind StoreKind, name string) (Entry, error)
	// List returns all entries of a kind.
	List(ctx context.Context, kind StoreKind, fresh Freshness) (Listing, error)
	// Watch returns the changes since a revision as soon as there are any, or
	// none after wait. *HistoryGoneError asks for a new List.
	Watch(ctx context.Context, kind StoreKind, after uint64, wait time.Duration) (Changes, error)
	// Create makes an entry, or returns *ExistsError.
	Create(ctx context.Context, e Entry) (Entry, error)
	// Replace writes an entry if it stands at e.Revision, or returns
	// *ConflictError, *NotFoundError.
	Replace(ctx context.Context, e Entry) (Entry, error)
	// Delete removes an entry if it stands at e.Revision.
	Delete(ctx context.Context, e Entry) error
}
