package leader

import (
	"maps"
	"slices"
	"time"

	"pimentorelay.example/pimento"
	"pimentorelay.example/pimento/limiter"
	"pimentorelay.example/pimento/messenger"
)

// simMember is the follower side of a process.
type simMember struct{ *process }

// Apply implements Member.
func (p *process) Apply(s *messenger.State) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.noteVersions(s)
	p.limits.Merge(time.Now(), s.Limits)
	p.quarantine.Merge(time.Now(), s.CrashFacts)
	if s.Roster != nil {
		p.roster = s.Roster
	}
	if s.Upstreams == nil {
		return
	}
	if s.Upstreams.Whole || p.upstreams == nil {
		p.upstreams = make(map[pimento.UpstreamName]pimento.Server)
	}
	for _, u := range s.Upstreams.Upstreams {
		server := u.Server
		server.WarmAt = time.Now().Add(u.ColdFor)
		p.upstreams[u.Name] = server
	}
	for _, name := range s.Upstreams.Gone {
		delete(p.upstreams, name)
	}
	p.domainsOut = s.Upstreams.Out
}

// noteVersions notes the versions of the parts that a state has. The caller holds mu.
func (p *process) noteVersions(s *messenger.State) {
	known := p.versions
	if s.Versions.Epoch > known.Epoch {
		known = messenger.Versions{Manifest: known.Manifest}
	}
	p.versions = s.Versions
	if s.Roster == nil {
		p.versions.Roster = known.Roster
	}
	if s.Upstreams == nil {
		p.versions.Upstreams = known.Upstreams
	}
	if s.Owners == nil {
		p.versions.Owners = known.Owners
	}
}

// hostsUsing returns the hosts whose processes still regard an upstream as usable.
func (cl *cluster) hostsUsing(name pimento.UpstreamName) []pimento.HostName {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	var out []pimento.HostName
	for _, p := range cl.processes {
		if p.uses(name) {
			out = append(out, p.self.Host)
		}
	}
	return out
}

// uses reports whether a process regards an upstream as usable.
func (p *process) uses(name pimento.UpstreamName) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	s, ok := p.upstreams[name]
	return ok && s.State != pimento.StateLeaving
}

// Manifest implements Member.
func (m simMember) Manifest() (*pimento.Manifest, []byte) {
	m.cluster.pause(m.self.Host)
	return &pimento.Manifest{Version: 1, Services: []pimento.Service{{Name: simService, Sharing: pimento.SharingKeyed}}}, nil
}

// Process implements Member.
func (p *process) Process(id pimento.ProcessID) (pimento.Process, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.roster == nil {
		return pimento.Process{}, false
	}
	i := slices.IndexFunc(p.roster.Processes, func(x pimento.Process) bool { return x.ID == id })
	if i < 0 {
		return pimento.Process{}, false
	}
	return p.roster.Processes[i], true
}

// ManifestReadAt implements Member.
func (simMember) ManifestReadAt() time.Time { return time.Time{} }

// ManifestRead implements Member.
func (simMember) ManifestRead() ManifestRead { return ManifestRead{} }

// ManifestConfirmed implements Member.
func (simMember) ManifestConfirmed(ManifestRead) {}

// UpstreamsConfirmed implements Member.
func (m simMember) UpstreamsConfirmed(r UpstreamsRead) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if v := m.versions; r.Epoch == v.Epoch && r.Version <= v.Upstreams && r.BeganAt.After(m.upstreamsAt) {
		m.upstreamsAt = r.BeganAt
	}
}

// KnownUpstreams implements Member.
func (m simMember) KnownUpstreams() KnownUpstreams {
	m.mu.Lock()
	defer m.mu.Unlock()
	return KnownUpstreams{Servers: slices.Collect(maps.Values(m.upstreams)), Out: m.domainsOut}
}

// Announced implements Member.
func (simMember) Announced(messenger.Versions) {}

// Versions implements Member.
func (p *process) Versions() messenger.Versions {
	p.cluster.pause(p.self.Host)
	p.mu.Lock()
	defer p.mu.Unlock()
	v := p.versions
	v.Manifest = 1
	return v
}

// CreditsGranted implements Member.
func (p *process) CreditsGranted(uint64, *messenger.Credits) {}

// Report implements Member. The hot keys change every 4 s, so that keys move.
func (p *process) Report() messenger.Report {
	p.cluster.pause(p.self.Host)
	base := int(time.Since(p.cluster.started)/(4*time.Second)) * 9001
	var out []messenger.KeyLoad
	p.mu.Lock()
	crashes := p.quarantine.Reports(time.Now(), p.leader.Term().Epoch)
	p.mu.Unlock()
	if p.cluster.hasNoLoad() {
		return messenger.Report{Limits: p.cluster.takeLimitReports(p.self.Host), Leaving: p.leavingRuns(), CrashFacts: crashes}
	}
	for i := range 8 {
		out = append(out, messenger.KeyLoad{Service: simService, Key: pimento.Key((base + i*7) % 65536), Count: 2})
	}
	return messenger.Report{Loads: out, CrashFacts: crashes}
}

// leavingRuns returns the run that its answers say leaves, while the state that the process
// has does not.
func (p *process) leavingRuns() []pimento.Run {
	p.cluster.mu.Lock()
	defer p.cluster.mu.Unlock()
	run, told := p.cluster.toldLeaving[p.self.Host]
	p.mu.Lock()
	defer p.mu.Unlock()
	if s, known := p.upstreams[run.Upstream]; !told || !known || s.State == pimento.StateLeaving {
		return nil
	}
	return []pimento.Run{run}
}

// takeLimitReports returns what a host reports of limits, once.
func (cl *cluster) takeLimitReports(host pimento.HostName) []limiter.Report {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	list := cl.limitReports[host]
	delete(cl.limitReports, host)
	return list
}

// hostsWithoutLimit returns the hosts whose processes do not know a limit.
func (cl *cluster) hostsWithoutLimit(name pimento.UpstreamName, limit pimento.RateLimit) []pimento.HostName {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	var out []pimento.HostName
	for _, p := range cl.processes {
		p.mu.Lock()
		rate, limited := p.limits.Rate(time.Now(), name)
		p.mu.Unlock()
		if !limited || rate != limit {
			out = append(out, p.self.Host)
		}
	}
	return out
}
