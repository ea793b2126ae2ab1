package pimento

// UpstreamReport is the state of an upstream as known to its dispatcher.
type UpstreamReport struct {
	Upstream    UpstreamName
	Service     ServiceName
	Usable      bool    // it takes new work
	Cold        bool    // it has started recently
	Slowness    float64 `json:"Slow"`    // duration of work relative to the usual; 1: as usual
	FailureRate float64 `json:"Failing"` // share of recent requests that failed
	Running     int     // requests
	Slots       int
	Capacity    float64 `json:"Bears"`      // in requests per second
	Limit       float64 `json:",omitempty"` // that it names, or this process's part of it, in requests per second; zero: none
}

// Status is the state of one process and what it knows of others, for operators.
type Status struct {
	Process         Process
	Epoch           uint64
	Leader          ProcessID
	Leads           bool // this process is the leader
	Led             bool // it leads with authority, or follows a leader that reaches the store
	Ready           bool // callers should send requests to this process
	Leaving         bool
	ManifestVersion uint64
	Active          int // requests of callers that are not fully answered
	Waiting         int // requests that wait here for a permit
	Records         int // request records kept here
	Unheld          int // keys without a ready holder, as far as this process knows
	Dispatches      []UpstreamReport
	Barred          []BarredUpstream `json:",omitempty"`
	Quotas          []QuotaReport    `json:",omitempty"` // of the leader
}

// QuotaReport is the state of the quota of a customer that asks for something, as known to the
// leader.
type QuotaReport struct {
	Customer  CustomerName
	Rate      float64 // of the quota, in requests a second
	Demand    float64 // in requests a second
	Exhausted bool
}

// BarredUpstream is an upstream to which a process sends nothing, because answers have said
// so.
type BarredUpstream struct {
	Upstream UpstreamName
	For      Span `json:",omitempty"` // zero: it leaves
}
