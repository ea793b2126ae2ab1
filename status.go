package pimento

// Status is what one process knows, for operators.
type Status struct {
	Process       Process
	Epoch         uint64
	ConfigVersion uint64
	Confirmed     bool // the process has authority
	Leaving       bool
	Waiting       int // rights that it waits for; -1: not known
	Records       int // requests that it remembers
	Withdrawn     Withdrawn
	Upstreams     []UpstreamReport // those that it dispatches
}
