package pimento

import (
	"net/netip"
	"time"
)

// ProcessID names one run of a process. It is fresh each time a process
// starts, so it is an incarnation and never comes back.
type ProcessID string

// Process is one entry process as it registers itself in the platform.
type Process struct {
	ID       ProcessID
	Host     HostName
	Domain   DomainName
	Peer     netip.AddrPort // TCP, between processes
	Caller   netip.AddrPort // HTTP, for callers
	Operator netip.AddrPort // HTTP, for operators
	Token    string         // what other processes show to speak to this one
	Started  time.Time
	// Strength is how much the host can carry, to be compared with that of
	// others: cores times Mbit/s; zero: not told.
	Strength float64
}
