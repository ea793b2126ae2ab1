package quarantiner

import (
	"time"

	"pimentorelay.example/pimento"
)

// Fingerprint is the fingerprint of a request; zero: it has none.
type Fingerprint uint64

// Run identifies one run of an upstream. Unlike a pimento.Run, it can be the key of
// a map.
type Run struct {
	Upstream pimento.UpstreamName `cbor:"1,keyasint"`
	Started  int64                `cbor:"2,keyasint"` // Unix milliseconds
}

// RunOf returns the run of an upstream's entry.
func RunOf(s pimento.Server) Run { return Run{Upstream: s.Name, Started: s.Started.UnixMilli()} }

// StartedAt returns the start of the run, by the clock of its host.
func (r Run) StartedAt() time.Time { return time.UnixMilli(r.Started) }

// Fact says that a run crashed while it had a request. A run crashes once, so two
// facts about the same request and run are the same. Its age is relative to the time
// of the message, since clocks differ.
type Fact struct {
	Fingerprint Fingerprint   `cbor:"1,keyasint"`
	Run         Run           `cbor:"2,keyasint"`
	Cleared     bool          `cbor:"3,keyasint,omitempty"` // a later copy was answered
	Age         time.Duration `cbor:"4,keyasint"`           // since the crash was found
}
