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
	Peer     netip.AddrPort // QUIC, between processes
	Caller   netip.AddrPort // HTTP, for callers
	Operator netip.AddrPort // HTTP, for operators
	CertHash []byte         // SHA-256 of the process's certificate
	Token    string         // what other processes show to speak to this one
	Started  time.Time
	Leaving  bool // a graceful shutdown has begun
}

// Supersedes reports whether p listens where old did and started later. Then
// old has ended, since two processes cannot listen on one address.
func (p Process) Supersedes(old Process) bool {
	return p.ID != old.ID && p.Peer == old.Peer && p.Started.After(old.Started)
}
