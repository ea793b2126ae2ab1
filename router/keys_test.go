package router

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"pimentorelay.example/pimento/leader"
	"pimentorelay.example/pimento/messenger"
	"pimentorelay.example/pimento/timekeeper"
)

// TestKeysExpireWithTheManifest guards against a process that uses API keys which may have been
// taken away long before: one that is cut off, was suspended, or has a store that was restored
// from a copy. The clock of the manifest counts suspensions, that of a request does not.
func TestKeysExpireWithTheManifest(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_000_000, 0)
	t.Cleanup(timekeeper.SetClock(func() time.Time { return now }))
	bound, vouched := 5*time.Second, true
	c := newConfirmer(func(context.Context) error { return nil }, func() time.Duration { return 2 * time.Second })
	c.revoke = func() time.Duration { return bound }
	c.isVouched = func() bool { return vouched }
	is.True(!c.MayUseKeys(time.Now())) // no manifest was ever confirmed

	c.answered(leader.ManifestRead{BeganAt: now, Version: 3})
	is.True(c.MayUseKeys(time.Now()))
	now = now.Add(4500 * time.Millisecond)
	is.True(c.MayUseKeys(time.Now()))
	now = now.Add(400 * time.Millisecond) // within the bound, but not the margin of clocks
	is.True(!c.MayUseKeys(time.Now()))
	is.True(c.MayUseKeys(time.Now().Add(-time.Second))) // it arrived while the keys were in force

	c.confirm(now)
	is.True(c.MayUseKeys(time.Now()))
	now = now.Add(time.Hour) // a suspension
	is.True(!c.MayUseKeys(time.Now().Add(-time.Second)))

	c.confirm(now)
	vouched = false // the process has just started and has heard of no leader
	is.True(!c.MayUseKeys(time.Now()))
	vouched = true
	c.forget() // the store was restored from a copy
	is.True(!c.MayUseKeys(time.Now()))

	bound = 0
	is.True(c.MayUseKeys(time.Now()))
}

// TestStoreThatWasNeverRestoredIsTrusted guards against processes that all start at once and
// refuse their customers until one of them leads, although the store has lost nothing. One that
// was restored from a copy may have an older manifest, so a new process waits for its leader.
func TestStoreThatWasNeverRestoredIsTrusted(t *testing.T) {
	const inForce = 3
	for _, c := range []struct {
		name      string
		era       uint64 // of the store, zero: it names none
		announced uint64 // version, zero: no leader is heard
		wait      time.Duration
		want      bool
	}{
		{"no eras", 0, 0, 0, true},
		{"never restored", 1, 0, 0, true},
		{"never restored, a newer one is on its way", 1, inForce + 1, 0, true},
		{"restored", 2, 0, 0, false},
		{"restored, with a leader", 2, inForce, 0, true},
		{"restored, the leader has a newer one", 2, inForce + 1, 0, false},
		{"restored, the leader has had a newer one for long", 2, inForce + 1, firstLeaderWait, false},
		{"restored, no leader for long", 2, 0, firstLeaderWait, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newRouter()
				defer r.follower.confirmer.close()
				r.self.Started = time.Now()
				r.storeEra.Store(c.era)
				r.follower.versions.Manifest = inForce
				if c.announced > 0 {
					r.follower.Announced(messenger.Versions{Manifest: c.announced})
				}
				time.Sleep(c.wait)
				if got := r.follower.mayTrustStore(); got != c.want {
					t.Errorf("trusts the store: %t, want %t", got, c.want)
				}
			})
		})
	}
}

// TestLeaderVouchesForLaterVersions checks that keys are used while a newer manifest is on its
// way to a process whose leader has vouched for an earlier one, though the store was restored.
func TestLeaderVouchesForLaterVersions(t *testing.T) {
	is := is.New(t)
	r := newRouter()
	defer r.follower.confirmer.close()
	r.storeEra.Store(2)
	r.follower.versions.Manifest = 3
	r.follower.Announced(messenger.Versions{Manifest: 3})
	r.follower.Announced(messenger.Versions{Manifest: 4})
	is.True(r.follower.mayTrustStore())
}
