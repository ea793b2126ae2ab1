package messenger

import (
	"time"

	"pimentorelay.example/pimento"
	"pimentorelay.example/pimento/allocator"
	"pimentorelay.example/pimento/limiter"
	"pimentorelay.example/pimento/quarantiner"
)

// Heartbeat is sent by a leader to each member several times a second. Versions
// are those of the state that the leader would send.
type Heartbeat struct {
	Term      pimento.Term
	StoreLost bool `json:"Blind"` // the leader cannot reach the store
	Versions  Versions
	Era       uint64 `cbor:",omitempty"` // of the store, as far as the leader knows
	// Confirmation dates the leader's last read of the manifest; nil: it has none.
	Confirmation *Confirmation `cbor:",omitempty"`
	// Upstreams dates its last read of the upstreams; nil: it has none, or is a process
	// of an older version.
	Upstreams *Confirmation `cbor:",omitempty"`
	// Credits are what the member gets of the quotas of customers; nil: there are none.
	Credits *Credits `cbor:",omitempty"`
}

// Credits are what a member gets of the quotas of customers.
type Credits struct {
	Dispatchers int               `cbor:"1,keyasint"` // that issue permits first
	Grants      []allocator.Grant `cbor:"2,keyasint,omitempty"`
}

// Versions are the versions of the parts of the state; a higher one is newer. The
// versions of one leader only increase.
type Versions struct {
	Epoch     uint64
	Roster    uint64
	Upstreams uint64
	Owners    uint64
	Manifest  uint64
	Limits    uint64
	// CrashFacts is the version of the leader's book of crashes.
	CrashFacts uint64 `cbor:",omitempty"`
}

// HeartbeatReply is the reply of a member.
type HeartbeatReply struct {
	Epoch     uint64 // of the latest term that it knows
	Confirmed bool
	Leaving   bool // it is shutting down
	HasStore  bool // the store has answered it recently
	Versions  Versions
	Report    Report // since its last reply
	Stamp     *Stamp `cbor:",omitempty"` // when the reply was made
}

// Report is what a process measured.
type Report struct {
	Loads      []KeyLoad
	Capacities []UpstreamCapacity `json:"Speeds"`
	Limits     []limiter.Report   `cbor:",omitempty"` // what answers have said about limits of upstreams
	CrashFacts []quarantiner.Fact `cbor:",omitempty"` // those that the leader's state has not shown
	// Leaving are the runs whose answers say that they leave, while the known state does
	// not.
	Leaving []pimento.Run `cbor:",omitempty"`
	Paused  []Pause       `cbor:",omitempty"`
	// Uses are what customers with a quota have asked for, and the credits left of those that
	// the leader of UsesEpoch has granted.
	Uses      []allocator.Use `cbor:",omitempty"`
	UsesEpoch uint64          `cbor:",omitempty"`
}

// Pause says that a run of an upstream wants nothing from the process that reports it.
type Pause struct {
	Run  pimento.Run
	Left time.Duration
}

// KeyLoad is the number of requests for a key.
type KeyLoad struct {
	Service pimento.ServiceName
	Key     pimento.Key
	Count   int
}

// UpstreamCapacity is what a dispatcher measured of an upstream.
type UpstreamCapacity struct {
	Upstream pimento.UpstreamName
	Capacity float64 // requests a second that it can handle
}

// Vote requests a vote, and is its own reply. A receiver grants it if it knows no
// later epoch, and has no leader that sends heartbeats and reaches the store.
type Vote struct {
	Epoch   uint64 // latest that the sender knows
	Granted bool   `json:"Lacks"` // in the reply
	// Doubtful, in the request, means that the stored assignment may not be the newest.
	Doubtful bool `cbor:",omitempty"`
	// Term, in the reply to a doubtful candidate, is the latest that the voter knows.
	Term *pimento.Term `cbor:",omitempty"`
	// Processes, in that reply, are those that Term names, as far as they are known.
	Processes []pimento.Process `cbor:",omitempty"`
	// Assignment, in that reply, is the newest one of the leader of that term, as JSON.
	Assignment []byte `cbor:",omitempty"`
}

// State carries the parts of the state that a member does not have yet. Their
// entries replace earlier ones of the same upstreams or keys; a part that is
// Whole replaces all.
type State struct {
	Versions  Versions
	Roster    *Roster
	Upstreams *UpstreamList
	Owners    *OwnerList
	Manifest  []byte // as stored
	// Secret means that the manifest has API keys: it is sent as SealedManifest.
	Secret         bool             `cbor:"-"`
	SealedManifest []byte           `cbor:",omitempty"`
	Limits         []limiter.Report `cbor:",omitempty"` // all that the leader knows
	// CrashFacts are those that were added or cleared since the version that the member
	// has.
	CrashFacts []quarantiner.Fact `cbor:",omitempty"`
}

// IsWhole reports whether the state has all upstreams or all owners.
func (s *State) IsWhole() bool {
	return s.Upstreams != nil && s.Upstreams.Whole || s.Owners != nil && s.Owners.Whole
}

// WithoutWholes returns the state without its whole lists, nil if nothing is left.
func (s *State) WithoutWholes() *State {
	out := *s
	if out.Upstreams != nil && out.Upstreams.Whole {
		out.Upstreams = nil
	}
	if out.Owners != nil && out.Owners.Whole {
		out.Owners = nil
	}
	return out.orNil()
}

// WithoutRoster returns the state without its roster, nil if nothing is left.
func (s *State) WithoutRoster() *State {
	out := *s
	out.Roster = nil
	return out.orNil()
}

// orNil returns the state, nil if it has no part.
func (s *State) orNil() *State {
	if s.Roster == nil && s.Upstreams == nil && s.Owners == nil && s.Manifest == nil && s.Limits == nil && s.CrashFacts == nil {
		return nil
	}
	return s
}

// Len returns the number of processes, upstreams and ranges of keys that the state has.
func (s *State) Len() int {
	n := 0
	if s.Roster != nil {
		n += len(s.Roster.Processes)
	}
	if s.Upstreams != nil {
		n += len(s.Upstreams.Upstreams)
	}
	if s.Owners != nil {
		n += len(s.Owners.Owners)
	}
	return n
}

// Roster lists the processes, and the pools with their dispatchers.
type Roster struct {
	Processes []pimento.Process
	Pools     []pimento.Pool

	encoded encoded
}

// MarshalCBOR implements cbor.Marshaler.
func (r *Roster) MarshalCBOR() ([]byte, error) {
	type fields Roster // without this method
	return r.encoded.bytes((*fields)(r))
}

// UpstreamList holds the changes of the registered upstreams.
type UpstreamList struct {
	Whole     bool
	Upstreams []Upstream
	Gone      []pimento.UpstreamName
	Out       []pimento.DomainName // all failure domains that get no work

	encoded encoded
}

// MarshalCBOR implements cbor.Marshaler.
func (l *UpstreamList) MarshalCBOR() ([]byte, error) {
	type fields UpstreamList // without this method
	return l.encoded.bytes((*fields)(l))
}

// Upstream is one upstream. Its WarmAt is not sent, since clocks differ.
type Upstream struct {
	pimento.Server
	ColdFor time.Duration // time until it is warm
}

// OwnerList holds the changes of the owners of keys.
type OwnerList struct {
	Whole  bool
	Owners []Owner

	encoded encoded
}

// MarshalCBOR implements cbor.Marshaler.
func (l *OwnerList) MarshalCBOR() ([]byte, error) {
	type fields OwnerList // without this method
	return l.encoded.bytes((*fields)(l))
}

// Owner is the upstream that owns a range of keys.
type Owner struct {
	Service  pimento.ServiceName
	Range    pimento.KeyRange
	Upstream pimento.UpstreamName
	Ready    bool
	ReadyIn  time.Duration // until the keys are expected to be served, if the upstream is lost; else zero
}

// Join notifies the leader of a process that is not a member yet.
type Join struct {
	Process pimento.Process
}

// Acquire asks the dispatcher of a pool for a permit.
type Acquire struct {
	Service     pimento.ServiceName     `cbor:"1,keyasint"`
	Pool        int                     `cbor:"2,keyasint,omitempty"`
	Route       pimento.RouteName       `cbor:"3,keyasint"`
	Priority    int                     `cbor:"4,keyasint,omitempty"`
	Key         pimento.Key             `cbor:"5,keyasint,omitempty"`
	Domain      pimento.DomainName      `cbor:"6,keyasint"`
	Bytes       int64                   `cbor:"7,keyasint,omitempty"`
	Goal        time.Duration           `cbor:"8,keyasint"` // until the target latency is reached
	Left        time.Duration           `cbor:"9,keyasint"` // until the deadline
	Repeat      bool                    `cbor:"10,keyasint,omitempty"`
	Avoid       []pimento.UpstreamName  `cbor:"11,keyasint,omitempty"`
	Fingerprint quarantiner.Fingerprint `cbor:"12,keyasint,omitempty"`
	Barred      []Bar                   `cbor:"13,keyasint,omitempty"`
	Again       bool                    `cbor:"14,keyasint,omitempty"` // the permit of this attempt was given back unused
	Warm        []pimento.UpstreamName  `cbor:"15,keyasint,omitempty"` // to which the sender has an idle connection

	Customer         pimento.CustomerName `cbor:"16,keyasint,omitempty"`
	CustomerPriority int                  `cbor:"17,keyasint,omitempty"`
	Charged          bool                 `cbor:"18,keyasint,omitempty"` // an earlier permit counts for the quota
}

// Bar excludes a run of an upstream for a request.
type Bar struct {
	Upstream pimento.UpstreamName `cbor:"1,keyasint"`
	Started  int64                `cbor:"2,keyasint"`           // Unix milliseconds
	Left     time.Duration        `cbor:"3,keyasint,omitempty"` // zero: for as long as the run lasts
}

// Permit allows a request to be sent to an upstream.
type Permit struct {
	Ticket  uint64               `cbor:"1,keyasint"`
	Name    pimento.UpstreamName `cbor:"2,keyasint"`
	Address string               `cbor:"3,keyasint"`
	Started int64                `cbor:"4,keyasint"` // Unix milliseconds
	Domain  pimento.DomainName   `cbor:"5,keyasint"`

	// The basis of the decision, for the log of the process that asked.
	Running  int           `cbor:"6,keyasint,omitempty"`
	Slots    int           `cbor:"7,keyasint,omitempty"`
	Expected time.Duration `cbor:"8,keyasint,omitempty"`
	Owners   uint64        `cbor:"9,keyasint,omitempty"` // version of the owners that the dispatcher knows
}

// Refusal is the reply to an Acquire that gets no permit.
type Refusal struct {
	Reason     pimento.Reason `cbor:"1,keyasint"`
	Detail     string         `cbor:"2,keyasint,omitempty"`
	RetryAfter time.Duration  `cbor:"3,keyasint,omitempty"`
	Pool       int            `cbor:"4,keyasint,omitempty"` // of the owner of the key, if the reason is Elsewhere
}

// Done returns a permit.
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
	Limited  bool                `cbor:"11,keyasint,omitempty"` // the answer named Limit
	Limit    pimento.RateLimit   `cbor:"12,keyasint,omitempty"`
	Started  int64               `cbor:"13,keyasint,omitempty"` // Unix milliseconds, of the run in the permit
	Leaving  bool                `cbor:"14,keyasint,omitempty"` // the run has said that it leaves
	// PausedFor is how long the run wants nothing from the process that returns the
	// permit.
	PausedFor time.Duration `cbor:"15,keyasint,omitempty"`
	Down      bool          `cbor:"21,keyasint,omitempty"` // nothing listens at the upstream's address
	Unsent    bool          `cbor:"22,keyasint,omitempty"` // nothing was sent to the upstream
}
