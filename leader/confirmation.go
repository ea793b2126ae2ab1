package leader

import (
	"time"

	"pimentorelay.example/pimento/messenger"
	"pimentorelay.example/pimento/timekeeper"
)

// ManifestRead is an answered read of the whole manifest in the store: every version
// that was acknowledged before it began is Version or older.
type ManifestRead struct {
	BeganAt time.Time // on the clock of timekeeper; zero: there was none
	Version uint64    // in force here since; an invalid manifest does not count
	Era     uint64    // of the store
}

// UpstreamsRead is an answered read of the upstreams by the leader: what was acknowledged
// before it began is in Version of its list, and in each later one of the epoch.
type UpstreamsRead struct {
	BeganAt time.Time // on the clock of timekeeper
	Epoch   uint64
	Version uint64
	Era     uint64 // of the store
}

// maxOutAge is how old the leader's knowledge of the failure domains out of service may be
// for it to vouch for its upstreams. Two watches take a little less.
const maxOutAge = 3300 * time.Millisecond

// clockDrift is the part of a time by which two clocks may differ over it.
const clockDrift = 0.02

// stamp returns the present moment for the leader.
func (l *Leader) stamp() *messenger.Stamp {
	return &messenger.Stamp{Process: l.stampID, At: timekeeper.Now().UnixNano()}
}

// noteStamp notes the stamp of a member that arrived at a time.
func (m *member) noteStamp(arrivedAt time.Time, s *messenger.Stamp) {
	if s != nil {
		m.stamp, m.stampedAt = s, arrivedAt
	}
}

// confirmation returns what the leader's last read in this term says to a member, nil
// if there is none.
func (l *Leader) confirmation(m *member) *messenger.Confirmation {
	read := l.Member.ManifestRead()
	if m.stamp == nil || read.BeganAt.IsZero() || read.BeganAt.Before(l.term.beganAt) {
		return nil
	}
	return &messenger.Confirmation{Stamp: *m.stamp, Later: read.BeganAt.Sub(m.stampedAt), Version: read.Version, Era: read.Era}
}

// handleConfirmation hands on what a leader's read of the manifest says.
func (l *Leader) handleConfirmation(c *messenger.Confirmation) {
	if at, ok := l.dateRead(c); ok && c.Era == l.storeEra.Load() {
		l.Member.ManifestConfirmed(ManifestRead{BeganAt: at, Version: c.Version, Era: c.Era})
	}
}

// dateRead returns when the read of a confirmation began, on the clock of this process;
// false unless the stamp is its own. The stamp was made before the leader got it, so the
// read began no earlier than this dates it. The store has answered then.
func (l *Leader) dateRead(c *messenger.Confirmation) (time.Time, bool) {
	if c == nil || c.Stamp.Process != l.stampID {
		return time.Time{}, false
	}
	drift := time.Duration(clockDrift * float64(c.Later.Abs()))
	at := time.Unix(0, c.Stamp.At).Add(c.Later - drift)
	l.outages.answered(timekeeper.Now(), at)
	return at, true
}

// upstreamsRead returns the leader's last read of the upstreams; false if there is none
// in this term, or if the failure domains out of service were not read of late.
func (l *Leader) upstreamsRead(now time.Time) (UpstreamsRead, bool) {
	r := &l.term.upstreams
	if r.version == 0 || now.Sub(r.outReadAt) > maxOutAge {
		return UpstreamsRead{}, false
	}
	return UpstreamsRead{BeganAt: r.readBeganAt, Epoch: l.elector.Term().Epoch, Version: r.version, Era: r.era}, true
}

// upstreamsConfirmation returns what that read says to a member, nil if there is none.
func (l *Leader) upstreamsConfirmation(now time.Time, m *member) *messenger.Confirmation {
	read, ok := l.upstreamsRead(now)
	if !ok || m.stamp == nil {
		return nil
	}
	return &messenger.Confirmation{Stamp: *m.stamp, Later: read.BeganAt.Sub(m.stampedAt), Version: read.Version, Era: read.Era}
}

// handleUpstreamsConfirmation hands on what the read of the leader of an epoch says.
func (l *Leader) handleUpstreamsConfirmation(epoch uint64, c *messenger.Confirmation) {
	if at, ok := l.dateRead(c); ok {
		l.Member.UpstreamsConfirmed(UpstreamsRead{BeganAt: at, Epoch: epoch, Version: c.Version, Era: c.Era})
	}
}
