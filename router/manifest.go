package router

import (
	"context"
	"time"

	"pimentorelay.example/pimento"
	"pimentorelay.example/pimento/forwarder"
	"pimentorelay.example/pimento/messenger"
	"pimentorelay.example/pimento/timekeeper"
)

const (
	// manifestWatchTimeout bounds one watch for a manifest. It is short because
	// a watch may miss changes.
	manifestWatchTimeout = time.Second
	// manifestWatchInterval is the pause between two watches, so that manifests
	// in quick succession cost few calls.
	manifestWatchInterval = 150 * time.Millisecond
	// leaderCheckInterval is the time between two checks whether a leader sends
	// manifests to this process.
	leaderCheckInterval = 100 * time.Millisecond
)

// limits returns the limits in force, or the defaults if there is no manifest.
func (f *follower) limits() pimento.Limits {
	if v := f.view.Load(); v != nil {
		return v.Manifest.Limits
	}
	var m pimento.Manifest
	m.Defaults()
	return m.Limits
}

// Manifest implements leader.Member.
func (f *follower) Manifest() (*pimento.Manifest, []byte) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if v := f.view.Load(); v != nil {
		return v.Manifest, f.encodedManifest
	}
	return nil, nil
}

// watchManifest reads manifests from the store until ctx ends. A process that
// has a manifest and follows a leader receives new ones from the leader.
func (f *follower) watchManifest(ctx context.Context) error {
	var revision uint64
	backoff := timekeeper.Backoff{Initial: minStoreRetry, Max: maxStoreRetry}
	for ctx.Err() == nil {
		if f.router.leader.HasLeader() && !f.router.leader.IsLeader() && f.view.Load() != nil {
			revision = 0
			sleep(ctx, leaderCheckInterval)
			continue
		}
		next, err := f.awaitManifest(ctx, revision)
		revision = next
		if err != nil {
			sleep(ctx, backoff.Pause())
			continue
		}
		backoff.Reset()
		f.router.leader.StoreAnswered()
		sleep(ctx, manifestWatchInterval)
	}
	return ctx.Err()
}

// awaitManifest waits for a manifest after a revision and adopts it. It returns
// the revision to continue from.
func (f *follower) awaitManifest(ctx context.Context, after uint64) (uint64, error) {
	value, revision, err := f.router.Source.Manifest(ctx, after, manifestWatchTimeout)
	if err != nil {
		return 0, err // zero: the next call reads the manifest without waiting
	}
	if value == nil {
		return revision, nil
	}
	f.adoptManifest(value, manifestOrigin{From: originStore, Revision: revision})
	return revision, nil
}

// originStore is the origin of a manifest that this process read itself.
const originStore = "Store"

// manifestOrigin says from where a process has a manifest.
type manifestOrigin struct {
	From     string // originStore, or the leader that sent it
	Revision uint64 // of the store when it was read there, else zero
}

// announcement is the latest version of the manifest that the leader has told of.
type announcement struct {
	version uint64
	since   time.Time // when a version newer than the one in force was first told of
}

// Announced implements leader.Member.
func (f *follower) Announced(v messenger.Versions) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if v.Manifest <= f.announced.version {
		return
	}
	if f.announced.version <= f.versions.Manifest {
		f.announced.since = time.Now()
	}
	f.announced.version = v.Manifest
}

// announcedVersion returns the latest version that the leader has told of.
func (f *follower) announcedVersion() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.announced.version
}

// adoptManifest decodes a stored manifest and puts it in force if it is newer
// than the one in force.
func (f *follower) adoptManifest(value []byte, origin manifestOrigin) {
	start := time.Now()
	m, err := f.router.Source.DecodeManifest(value)
	if err != nil {
		f.router.observer.manifestDecoded(manifestInvalid, time.Since(start))
		f.router.events.Emit(pimento.EventConfigInvalid, "Name", "manifest", "From", origin.From, "Revision", origin.Revision, "Cause", err)
		return
	}
	next := &forwarder.View{Manifest: &m, Routes: pimento.NewRouteTable(m.Routes)}
	took := time.Since(start)
	f.mu.Lock()
	if old := f.view.Load(); old != nil && old.Manifest.Version >= m.Version {
		f.mu.Unlock()
		f.router.observer.manifestDecoded(manifestOld, took)
		return
	}
	f.view.Store(next)
	f.encodedManifest, f.versions.Manifest = value, m.Version
	waited := time.Duration(0)
	if f.announced.version >= m.Version {
		waited = time.Since(f.announced.since)
	}
	snapshot := f.snapshot()
	f.mu.Unlock()
	f.router.observer.manifestDecoded(manifestAdopted, took)
	f.router.events.Emit(pimento.EventManifestAdopted, "Version", m.Version, "Routes", len(m.Routes), "Services", len(m.Services), "Bytes", len(value),
		"From", origin.From, "Revision", origin.Revision, "Decoding", roundToMillis(took), "Announced", roundToMillis(waited))
	f.router.admitter.Update(snapshot)
}
