package pimento

import (
	"context"
	"time"
)

// Source reads the configuration written by operators and the registrations of
// upstreams, in the format of a platform.
type Source interface {
	// Upstreams returns the registered upstreams. Their WarmAt is on the clock
	// of package timekeeper.
	Upstreams(ctx context.Context) ([]Server, error)
	// DomainsOut waits until the failure domains that are to get no work may
	// differ from those as of a revision; with zero it returns at once. changed
	// is false if nothing was written; revision is where to continue.
	DomainsOut(ctx context.Context, after Revision, wait time.Duration) (out []DomainName, changed bool, revision Revision, err error)
	// Manifest waits until the manifest may differ from that as of a revision,
	// and returns it undecoded, with the revision to continue from; with zero it
	// returns at once. The value is nil if there is none or nothing has changed.
	Manifest(ctx context.Context, after Revision, wait time.Duration) (value []byte, revision Revision, err error)
	// DecodeManifest reads a value that Manifest returned, here or in another
	// process.
	DecodeManifest(value []byte) (Manifest, error)
}
