package router

import (
	"bytes"
	"context"
	"errors"
	"time"

	"pimentorelay.example/pimento"
	"pimentorelay.example/pimento/forwarder"
	"pimentorelay.example/pimento/leader"
	"pimentorelay.example/pimento/messenger"
	"pimentorelay.example/pimento/timekeeper"
)

const (
	// watchTimeout bounds one watch for a manifest. The reads that confirm it find sooner
	// that a watch is silent (confirmer.go).
	watchTimeout = 3 * time.Second
	// watchMargin is added to the wait of a watch to get the time after which it is
	// given up. The answer of a slow store comes within it.
	watchMargin = 400 * time.Millisecond
	// minStoreRetry and maxStoreRetry bound the backoff after failed calls to
	// the store.
	minStoreRetry = 250 * time.Millisecond
	maxStoreRetry = 2 * time.Second
	// minManifestPause and maxManifestPause bound the pause between two reads, so that
	// manifests in quick succession cost few calls and little processor time.
	minManifestPause = 150 * time.Millisecond
	maxManifestPause = 600 * time.Millisecond
	// manifestPauseFactor is the pause after a manifest in relation to the time that
	// decoding it took.
	manifestPauseFactor = 4
	// firstLeaderWait is how long a new process, which has called the store once, waits for a
	// leader before it follows the store itself. Where all start at once, one leads within
	// a second.
	firstLeaderWait = 1500 * time.Millisecond
	// leaderCheckInterval is the time between two checks whether the leader follows
	// the manifest.
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

// watchManifest follows the manifest in the store until ctx ends. The leader watches
// it there, and so does a process without a leader that reaches the store. Any other
// process reads it once the leader announces a version that has not arrived.
func (f *follower) watchManifest(ctx context.Context) error {
	var revision pimento.Revision
	failures := 0
	backoff := timekeeper.Backoff{Initial: minStoreRetry, Max: maxStoreRetry}
	for ctx.Err() == nil {
		if f.mayWaitForLeader() {
			revision = pimento.Revision{}
			f.awaitAnnouncement(ctx)
			continue
		}
		if f.awaitsFirstLeader() {
			f.awaitAnnouncement(ctx)
			continue
		}
		next, err := f.awaitManifest(ctx, revision)
		revision = next
		if err == nil && !f.lacksAnnounced() {
			failures = 0
			backoff.Reset()
			sleep(ctx, f.manifestPause())
			continue
		}
		// A single failure may be that of its connection, so the next call follows
		// at once.
		if failures++; failures > 1 {
			sleep(ctx, backoff.Pause())
			f.awaitStore(ctx)
		}
	}
	return ctx.Err()
}

// awaitAnnouncement waits for leaderCheckInterval, or until the leader announces a
// newer manifest.
func (f *follower) awaitAnnouncement(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, leaderCheckInterval)
	defer cancel()
	select {
	case <-f.announcedNewer:
	case <-ctx.Done():
	}
}

// mayWaitForLeader reports whether this process has the manifest that its leader
// announces, and a leader that reaches the store.
func (f *follower) mayWaitForLeader() bool {
	l := f.router.leader
	return !l.IsLeader() && l.FollowsStore() && f.view.Load() != nil && !f.lacksAnnounced()
}

// awaitsFirstLeader reports whether this process has read the manifest, or that there is
// none yet, and has not waited long for a leader since it started.
func (f *follower) awaitsFirstLeader() bool {
	r := f.router
	return !r.leader.IsLeader() && !f.ManifestReadAt().IsZero() && !f.lacksAnnounced() && time.Since(r.self.Started) < firstLeaderWait
}

// firstEra is the era of a store that was never restored from a copy. One that names no era
// is never restored.
const firstEra = 1

// mayTrustStore reports whether the manifest in the store may decide alone which API keys
// are in force. A store that was restored from a copy may show one that operators have
// replaced, so a process that has just started waits for a leader that knows no newer one.
func (f *follower) mayTrustStore() bool {
	if f.router.storeEra.Load() <= firstEra || f.isVouched() {
		return true
	}
	return !f.lacksAnnounced() && (f.router.leader.IsLeader() || time.Since(f.router.self.Started) >= firstLeaderWait)
}

// isVouched reports whether a leader has known no newer manifest than the one that was in
// force then. From then on this process never goes back.
func (f *follower) isVouched() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.vouched
}

// noteVouched notes whether the leader knows no newer manifest than the one in force. The
// caller holds mu.
func (f *follower) noteVouched() {
	f.vouched = f.vouched || f.announced.version > 0 && f.announced.version <= f.versions.Manifest
}

// lacksAnnounced reports whether the leader has announced a newer manifest than the
// one in force here.
func (f *follower) lacksAnnounced() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.announced.version > f.versions.Manifest
}

// manifestPause returns the pause before the next read of the manifest.
func (f *follower) manifestPause() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return min(max(minManifestPause, manifestPauseFactor*f.manifestDecoding), maxManifestPause)
}

// awaitManifest waits for a manifest after a revision and adopts it. It returns
// the revision to continue from, zero after an error: the next call then reads the
// manifest without waiting.
func (f *follower) awaitManifest(ctx context.Context, after pimento.Revision) (pimento.Revision, error) {
	if !after.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, watchTimeout+watchMargin)
		defer cancel()
	}
	began, beganAt := time.Now(), timekeeper.Now()
	value, revision, err := f.router.Source.Manifest(ctx, after, watchTimeout)
	if err != nil {
		return pimento.Revision{}, err
	}
	f.router.leader.StoreAnswered(beganAt)
	if value != nil && !f.isInForce(value) {
		f.confirmer.adopting.Add(1)
		f.adoptManifest(value, manifestOrigin{From: originStore, Revision: revision})
		f.confirmer.adopting.Add(-1)
	}
	f.mu.Lock()
	f.manifestReadAt = began
	version := f.versions.Manifest
	f.mu.Unlock()
	if after.IsZero() && revision.Era >= f.router.storeEra.Load() && !f.lacksAnnounced() {
		f.confirmer.answered(leader.ManifestRead{BeganAt: beganAt, Version: version, Era: revision.Era})
	}
	return revision, nil
}

// readManifest reads the whole manifest and adopts it.
func (f *follower) readManifest(ctx context.Context) error {
	revision, err := f.awaitManifest(ctx, pimento.Revision{})
	if err != nil {
		return err
	}
	if revision.Era < f.router.storeEra.Load() {
		return errFormerEra
	}
	if f.lacksAnnounced() {
		return errOldCopy
	}
	return nil
}

// errOldCopy means that the store shows an older manifest than the leader has announced, as
// one that was restored from a copy does.
var errOldCopy = errors.New("the store has an older manifest than the leader has announced")

// errFormerEra means that an answer is of a time before the store was restored.
var errFormerEra = errors.New("the answer is of a former era of the store")

// isInForce reports whether a stored manifest is the one in force, byte for byte, so
// that it need not be decoded.
func (f *follower) isInForce(value []byte) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.encodedManifest != nil && bytes.Equal(value, f.encodedManifest)
}

// ManifestRead implements leader.Member.
func (f *follower) ManifestRead() leader.ManifestRead { return f.confirmer.latest() }

// ManifestConfirmed implements leader.Member. A read that showed an older version than
// the one in force confirms that one too: no newer version was acknowledged before.
func (f *follower) ManifestConfirmed(r leader.ManifestRead) {
	if r.Version <= f.Versions().Manifest {
		f.confirmer.confirm(r.BeganAt)
	}
}

// ManifestReadAt implements leader.Member.
func (f *follower) ManifestReadAt() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.manifestReadAt
}

// manifestVouchedAt returns when the leader last announced no newer manifest than
// the one in force, zero if never.
func (f *follower) manifestVouchedAt() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.vouchedAt
}

// originStore is the origin of a manifest that this process read itself.
const originStore = "Store"

// manifestOrigin says from where a process has a manifest.
type manifestOrigin struct {
	From     string           // originStore, or the leader that sent it
	Revision pimento.Revision // of the store when it was read there, else zero
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
	if v.Manifest <= f.versions.Manifest {
		f.vouchedAt = time.Now()
	}
	if v.Manifest <= f.announced.version {
		return
	}
	if f.announced.version <= f.versions.Manifest {
		f.announced.since = time.Now()
	}
	f.announced.version = v.Manifest
	f.noteVouched()
	if v.Manifest > f.versions.Manifest {
		select {
		case f.announcedNewer <- struct{}{}:
		default:
		}
	}
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
	next := forwarder.NewView(&m)
	took := time.Since(start)
	f.mu.Lock()
	old := f.view.Load()
	if old != nil && old.Manifest.Version >= m.Version {
		f.mu.Unlock()
		f.router.observer.manifestDecoded(manifestOld, took)
		return
	}
	f.view.Store(next)
	f.encodedManifest, f.versions.Manifest, f.manifestDecoding = value, m.Version, took
	f.noteVouched()
	waited := time.Duration(0)
	if f.announced.version >= m.Version {
		waited = time.Since(f.announced.since)
	}
	snapshot := f.snapshot()
	f.mu.Unlock()
	f.router.observer.manifestDecoded(manifestAdopted, took)
	f.router.events.Emit(pimento.EventManifestAdopted, "Version", m.Version, "Routes", len(m.Routes), "Services", len(m.Services), "Bytes", len(value),
		"From", origin.From, "Revision", origin.Revision, "Decoding", roundToMillis(took), "Announced", roundToMillis(waited), "Customers", len(m.Customers))
	f.router.observer.keysChanged(old, next)
	f.router.observer.manifestNotes(&m)
	f.router.admitter.Update(snapshot)
}
