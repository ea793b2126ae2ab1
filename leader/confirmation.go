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

// handleConfirmation hands on what a leader's read says. The stamp was made before the
// leader got it, so the read began no earlier than this dates it.
func (l *Leader) handleConfirmation(c *messenger.Confirmation) {
	if c == nil || c.Stamp.Process != l.stampID || c.Era != l.storeEra.Load() {
		return
	}
	drift := time.Duration(clockDrift * float64(c.Later.Abs()))
	l.Member.ManifestConfirmed(ManifestRead{BeganAt: time.Unix(0, c.Stamp.At).Add(c.Later - drift), Version: c.Version, Era: c.Era})
}
