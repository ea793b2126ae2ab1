package messenger

import (
	"time"

	"pimentorelay.example/pimento"
	"pimentorelay.example/pimento/quarantiner"
)

// Ask is the question of a leader to a member, several times a second. It
// tells how new the state is that the leader would send.
type Ask struct {
	Term     pimento.Term
	Blind    bool // the leader does not reach the store
	Versions Versions
}

// Versions are those of the parts of the state. A part is the newer the higher
// its version; the versions of one leader only grow.
type Versions struct {
	Epoch     uint64
	Roster    uint64
	Upstreams uint64
	Owners    uint64
	Manifest  uint64
	Blocked   uint64
}

// AskReply is the answer of a member.
type AskReply struct {
	Epoch     uint64 // of the latest term that it knows
	Confirmed bool
	Leaving   bool // it is shutting down
	HasStore  bool // it has reached the store lately
	Versions  Versions
	Report    Report // since its last reply
}

// Report is what a process measured.
type Report struct {
	Loads   []KeyLoad
	Speeds  []Speed
	Strikes []quarantiner.Print // requests that crashed an upstream, once for each time
}

// KeyLoad is how many requests asked for a key.
type KeyLoad struct {
	Service pimento.ServiceName
	Key     pimento.Key
	Count   int
}

// Speed is what a dispatcher measured of an upstream.
type Speed struct {
	Upstream pimento.UpstreamName
	Capacity float64 // requests a second that it bears
}

// Vote asks whether the receiver lacks a leader, and answers that.
type Vote struct {
	Epoch uint64 // that the candidate knows
	Lacks bool   // the answer
}

// State carries the parts of the state that a member lacks. What a part says
// replaces what was said before of the same things; a part that is Whole
// replaces all.
type State struct {
	Versions  Versions
	Roster    *Roster
	Upstreams *UpstreamList
	Owners    *OwnerList
	Manifest  []byte // as it stands in the store
	Blocked   []quarantiner.Print
}

// Roster is which processes there are and which of them dispatch.
type Roster struct {
	Processes []pimento.Process
	Pools     []pimento.Pool
}

// UpstreamList is what is new of the registered upstreams.
type UpstreamList struct {
	Whole     bool
	Upstreams []Upstream
	Gone      []pimento.UpstreamName
	Out       []pimento.DomainName // all failure domains that get no work
}

// Upstream is one upstream. Its WarmAt is not sent, since clocks differ.
type Upstream struct {
	pimento.Server
	ColdFor time.Duration // how long it stays cold
}

// OwnerList is what is new of which upstream has which keys.
type OwnerList struct {
	Whole  bool
	Owners []Owner
}

// Owner is who has the keys of a range.
type Owner struct {
	Service  pimento.ServiceName
	Range    pimento.KeyRange
	Upstream pimento.UpstreamName
	Ready    bool
	ReadyIn  time.Duration // until the keys are expected to be served, if not Ready
}

// Join tells the leader of a process that is not a member yet.
type Join struct {
	Process pimento.Process
}

// Acquire asks the dispatcher of a pool for a permit.
type Acquire struct {
	Service  pimento.ServiceName    `cbor:"1,keyasint"`
	Pool     int                    `cbor:"2,keyasint,omitempty"`
	Route    pimento.RouteName      `cbor:"3,keyasint"`
	Priority int                    `cbor:"4,keyasint,omitempty"`
	Key      pimento.Key            `cbor:"5,keyasint,omitempty"`
	Domain   pimento.DomainName     `cbor:"6,keyasint"`
	Bytes    int64                  `cbor:"7,keyasint,omitempty"`
	Goal     time.Duration          `cbor:"8,keyasint"` // what is left of it
	Left     time.Duration          `cbor:"9,keyasint"` // until the deadline
	Repeat   bool                   `cbor:"10,keyasint,omitempty"`
	Avoid    []pimento.UpstreamName `cbor:"11,keyasint,omitempty"`
	Print    quarantiner.Print      `cbor:"12,keyasint,omitempty"`
}

// Permit lets a request go to an upstream.
type Permit struct {
	Ticket  uint64               `cbor:"1,keyasint"`
	Name    pimento.UpstreamName `cbor:"2,keyasint"`
	Address string               `cbor:"3,keyasint"`
	Started int64                `cbor:"4,keyasint"` // Unix milliseconds
	Domain  pimento.DomainName   `cbor:"5,keyasint"`

	// What decided for the upstream, for the log of the process that asked.
	Running  int           `cbor:"6,keyasint,omitempty"`
	Slots    int           `cbor:"7,keyasint,omitempty"`
	Expected time.Duration `cbor:"8,keyasint,omitempty"`
	Owners   uint64        `cbor:"9,keyasint,omitempty"` // version of the owners that the dispatcher knows
}

// Refusal says that a request gets no permit.
type Refusal struct {
	Reason     pimento.Reason `cbor:"1,keyasint"`
	Detail     string         `cbor:"2,keyasint,omitempty"`
	RetryAfter time.Duration  `cbor:"3,keyasint,omitempty"`
}

// Done gives a permit back.
type Done struct {
	Service  pimento.ServiceName `cbor:"1,keyasint"`
	Pool     int                 `cbor:"2,keyasint,omitempty"`
	Ticket   uint64              `cbor:"3,keyasint"`
	Kind     string              `cbor:"4,keyasint"`
	Took     time.Duration       `cbor:"5,keyasint,omitempty"`
	InFlight int                 `cbor:"6,keyasint,omitempty"`
	Waiting  int                 `cbor:"7,keyasint,omitempty"`
	Slots    int                 `cbor:"8,keyasint,omitempty"` // zero: no report
	Slowness float64             `cbor:"9,keyasint,omitempty"`
	ColdFor  time.Duration       `cbor:"10,keyasint,omitempty"`
}
