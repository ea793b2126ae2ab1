package leader

import (
	"maps"
	"time"

	"pimentorelay.example/pimento"
	"pimentorelay.example/pimento/timekeeper"
)

// OwnList is the upstreams and the failure domains out of service that a process which
// does not lead reads itself. It treats what it reads as a leader does: entries that
// lapsed in an outage of the store are kept for a while, and the upstreams of a domain
// that returns are cold. Times are those of timekeeper. It is not safe for concurrent use.
type OwnList struct {
	registry registry
	outages  *outages
}

// NewOwnList returns a list that begins with what a leader sent, which is known to be
// the newest as of readAt; zero: nothing is known. cold returns how long the upstreams
// of a service are cold after the return of their domain.
func (l *Leader) NewOwnList(readAt time.Time, known KnownUpstreams, cold func(pimento.ServiceName) time.Duration) *OwnList {
	o := &OwnList{outages: &l.outages}
	r := &o.registry
	r.era, r.coldFor = known.Era, cold
	if readAt.IsZero() {
		return o
	}
	now := timekeeper.Now()
	r.seed(now, known)
	if _, until := o.outages.ends(); now.Before(until) {
		r.holdRestored(until)
	}
	r.readBeganAt = readAt
	r.setOut(readAt, known.Era, known.Out, cold)
	return o
}

// Apply applies a reading of the upstreams that began at beganAt.
func (o *OwnList) Apply(now, beganAt time.Time, era uint64, servers []pimento.Server) {
	o.registry.enterEra(now, era)
	lapsedUntil, _ := o.outages.ends()
	o.registry.keepMissing(lapsedUntil)
	o.registry.applyList(now, beganAt, servers)
}

// SetOut replaces the failure domains out of service by a reading that began at beganAt.
func (o *OwnList) SetOut(now, beganAt time.Time, era uint64, out []pimento.DomainName) {
	o.registry.setOut(now, era, out, o.registry.coldFor)
	o.registry.outReadAt = beganAt
}

// MarkLeaving keeps those of the servers that leave from being used, whatever the store
// says, until they start anew.
func (o *OwnList) MarkLeaving(servers []pimento.Server) {
	for _, s := range servers {
		if s.State == pimento.StateLeaving {
			o.registry.markLeaving(pimento.Run{Upstream: s.Name, Started: s.Started})
		}
	}
}

// Known returns the list as what a process knows.
func (o *OwnList) Known() KnownUpstreams {
	r := &o.registry
	return KnownUpstreams{Era: r.era, Servers: r.list(), Out: r.outDomains, Gone: maps.Clone(r.gone)}
}

// Complete reports whether both the upstreams and the failure domains are known.
func (o *OwnList) Complete() bool { return o.registry.version > 0 }

// ReadAt returns when the last reading of the upstreams began.
func (o *OwnList) ReadAt() time.Time { return o.registry.readBeganAt }

// OutReadAt returns when the last reading of the failure domains began; zero: there was
// none.
func (o *OwnList) OutReadAt() time.Time { return o.registry.outReadAt }

// Servers returns the upstreams, sorted by name.
func (o *OwnList) Servers() []pimento.Server { return o.registry.list() }

// Out returns the failure domains out of service.
func (o *OwnList) Out() []pimento.DomainName { return o.registry.outDomains }
