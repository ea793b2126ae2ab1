package pimento

import (
	"net/netip"
	"time"
)

// ProcessID identifies one incarnation of a process: each start has a new ID, and
// an ID is never reused.
type ProcessID string

// Process is one process of the relay, as registered in the store.
type Process struct {
	ID       ProcessID
	Host     HostName
	Domain   DomainName
	Peer     netip.AddrPort // TCP, between processes
	Caller   netip.AddrPort // HTTP, for callers
	Operator netip.AddrPort // HTTP, for operators
	Token    string         // authenticates other processes to this one
	Started  time.Time
	// Strength is the capacity of the host relative to others, such as its
	// usable cores times Mbit/s; zero: unknown.
	Strength float64
}
