package pimento

// UpstreamReport is what the dispatcher of an upstream knows of it.
type UpstreamReport struct {
	Upstream UpstreamName
	Service  ServiceName
	Usable   bool    // it takes new work
	Cold     bool    // it has started lately
	Slow     float64 // how many times as long as usual its work takes
	Failing  float64 // share of the requests that it failed lately
	Running  int     // requests
	Slots    int
	Bears    float64 // requests a second
}

// Status is what one process knows, for operators.
type Status struct {
	Process         Process
	Epoch           uint64
	Leader          ProcessID
	Leads           bool // this process is the leader
	Led             bool // it leads with authority, or hears a leader that reaches the store
	Ready           bool // callers should come
	Leaving         bool
	ManifestVersion uint64
	Active          int // requests of callers without a whole answer
	Waiting         int // requests that wait here for a permit
	Records         int // requests that are remembered by their IDs
	Unheld          int // keys without a ready holder, as far as this process knows
	Dispatches      []UpstreamReport
}
