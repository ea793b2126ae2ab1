package pimento

import (
	"context"
	"time"
)

// Source reads what operators and upstreams have written, in whichever form
// they write it.
type Source interface {
	// Upstreams returns the upstreams that are there now. Their WarmAt is on
	// the clock of package timekeeper.
	Upstreams(ctx context.Context) ([]Server, error)
	// Out waits until the failure domains that are to get no work may differ
	// from those as of a revision; with zero it returns at once. changed is
	// false if nothing was written; revision is where to go on.
	Out(ctx context.Context, after uint64, wait time.Duration) (out []DomainName, changed bool, revision uint64, err error)
	// Manifest waits until the manifest may differ from that as of a revision,
	// and returns it as it stands, with the revision to go on from. The value
	// is nil if there is none or nothing has changed.
	Manifest(ctx context.Context, after uint64, wait time.Duration) (value []byte, revision uint64, err error)
	// DecodeManifest reads a value that Manifest returned, here or in another
	// process.
	DecodeManifest(value []byte) (Manifest, error)
}
