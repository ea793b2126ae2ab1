package leader

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"pimentorelay.example/pimento"
	"pimentorelay.example/pimento/elector"
	"pimentorelay.example/pimento/keeper"
	"pimentorelay.example/pimento/messenger"
	"pimentorelay.example/pimento/recorder"
)

const simService pimento.ServiceName = "guidebook"

// world is a deployment in memory, for tests on virtual time: processes,
// upstreams, the store, and the ways between them.
type world struct {
	mu        sync.Mutex
	rng       *rand.Rand
	started   time.Time
	processes map[pimento.ProcessID]*process
	hosts     []pimento.HostName
	upstreams map[pimento.UpstreamName]*upstream
	store     map[string]pimento.Entry
	stale     map[string]pimento.Entry // what stale reads show; nil: the present
	revision  uint64
	storeDown bool
	calls     int // to the store
	strong    []pimento.HostName
	quiet     bool    // no load, so that no keys move for balance
	loseWrite float64 // share of the writes that take effect without an answer
	lateWrite float64 // share of the writes that take effect late without one
	lateGrant float64 // share of the grants that take effect late without an answer
	cuts      map[[2]string]bool
	fences    map[pimento.Key]map[pimento.UpstreamName]uint64
	broken    []string // what must not happen and did
	running   sync.WaitGroup
	ctx       context.Context
	boots     int
}

// process is one run of a process.
type process struct {
	w      *world
	leader *Leader
	self   pimento.Process
	cancel context.CancelFunc
	mu     sync.Mutex
	has    messenger.Versions
	told   map[pimento.UpstreamName]pimento.State // of the upstreams
}

// upstream is an upstream with what it was granted.
type upstream struct {
	server pimento.Server
	listed bool
	up     bool
	grants []grant
	seen   []grant // fences by range
}

type grant struct {
	pimento.KeyRange
	fence uint64
	until time.Time
}

// newWorldOf is newWorld with upstreams that register within a span.
func newWorldOf(ctx context.Context, seed uint64, quiet bool, span time.Duration) *world {
	w := &world{
		quiet: quiet, rng: rand.New(rand.NewPCG(seed, 1)), started: time.Now(), ctx: ctx,
		processes: make(map[pimento.ProcessID]*process), upstreams: make(map[pimento.UpstreamName]*upstream),
		store: make(map[string]pimento.Entry), cuts: make(map[[2]string]bool),
		fences: make(map[pimento.Key]map[pimento.UpstreamName]uint64),
	}
	for i := range simUpstreams {
		name := pimento.UpstreamName(fmt.Sprintf("u%d", i))
		u := &upstream{listed: span == 0, up: true, server: pimento.Server{
			Name: name, Service: simService, Domain: pimento.DomainName(fmt.Sprint(i % 3)), Slots: 4, State: pimento.StateArriving,
			Started: time.Now(), Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 80),
		}}
		w.upstreams[name] = u
		if span > 0 {
			w.later(w.between(0, span), func() {
				w.mu.Lock()
				defer w.mu.Unlock()
				u.listed = true
			})
		}
	}
	for i := range simProcesses {
		w.hosts = append(w.hosts, pimento.HostName(fmt.Sprintf("h%d", i)))
		w.start(w.hosts[i])
	}
	return w
}

// start runs a process on a host, which has none.
func (w *world) start(host pimento.HostName) {
	w.mu.Lock()
	w.boots++
	p := &process{w: w, self: pimento.Process{
		ID: pimento.ProcessID(fmt.Sprintf("%s-%d", host, w.boots)), Host: host, Domain: pimento.DomainName(host[1:]), Started: time.Now(),
	}}
	p.self.Strength = 1
	if slices.Contains(w.strong, host) {
		p.self.Strength = 20
	}
	w.processes[p.self.ID] = p
	w.mu.Unlock()
	p.leader = &Leader{
		Self: p.self, Store: p, Source: p, Peers: p, Member: simMember{p}, Grantor: p, Events: &recorder.Recorder{Process: p.self.ID},
		Timing: elector.DefaultTiming(), Keys: keeper.DefaultTiming(10 * time.Second),
	}
	p.leader.Init()
	ctx, cancel := context.WithCancel(w.ctx)
	p.cancel = cancel
	w.running.Go(func() { p.leader.Run(ctx) })
	w.running.Go(func() { p.register(ctx) })
}

// kill ends the process on a host.
func (w *world) kill(host pimento.HostName) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for id, p := range w.processes {
		if p.self.Host == host {
			p.cancel()
			delete(w.processes, id)
		}
	}
}

func (p *process) register(ctx context.Context) {
	value, err := json.Marshal(p.self)
	if err != nil {
		panic(err)
	}
	for ctx.Err() == nil {
		e := pimento.Entry{Kind: KindProcesses, Name: string(p.self.Host), Value: value}
		_, err := p.Create(ctx, e)
		var exists *pimento.ExistsError
		if errors.As(err, &exists) {
			e.Revision = exists.Current.Revision
			_, err = p.Replace(ctx, e)
		}
		if err == nil {
			return
		}
		sleep(ctx, 200*time.Millisecond)
	}
}

// cut ends the way from one place to another: a host, an upstream or "store".
func (w *world) cut(from, to string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cuts[[2]string{from, to}] = true
}

func (w *world) setStrong(hosts []pimento.HostName) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.strong = hosts
}

func (w *world) healAll() {
	w.mu.Lock()
	defer w.mu.Unlock()
	clear(w.cuts)
	w.storeDown, w.loseWrite, w.lateWrite, w.lateGrant = false, 0, 0, 0
}

func (w *world) setQuiet() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.quiet = true
}

func (w *world) isQuiet() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.quiet
}

// freezeStale lets stale reads show the store as it is now.
func (w *world) freezeStale() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stale = maps.Clone(w.store)
}

func (w *world) isCut(from, to string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.cuts[[2]string{from, to}]
}

// chance draws with a probability of the world, which may change meanwhile.
func (w *world) chance(p *float64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.rng.Float64() < *p
}

func (w *world) between(a, b time.Duration) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return a + time.Duration(w.rng.Int64N(int64(b-a)))
}

// travel waits for a message on its way, and reports whether it arrives. One
// that does not is waited for in vain.
func (w *world) travel(ctx context.Context, from, to string) bool {
	sleep(ctx, w.between(200*time.Microsecond, 4*time.Millisecond))
	if w.isCut(from, to) {
		<-ctx.Done()
		return false
	}
	return ctx.Err() == nil
}

// The store, as a process sees it.

const storeName = "store"

var errSilence = errors.New("no answer")

func (p *process) call(ctx context.Context, do func() error) error {
	ctx, cancel := context.WithTimeout(ctx, 1200*time.Millisecond)
	defer cancel()
	lost := &pimento.UnreachableError{Target: storeName, Cause: errSilence}
	host := string(p.self.Host)
	if !p.w.travel(ctx, host, storeName) {
		return lost
	}
	p.w.mu.Lock()
	p.w.calls++
	down := p.w.storeDown
	p.w.mu.Unlock()
	if down {
		return &pimento.BusyError{Status: 503}
	}
	err := do()
	if !p.w.travel(ctx, storeName, host) {
		return lost
	}
	return err
}

func (p *process) write(ctx context.Context, do func() error) error {
	switch {
	case p.w.chance(&p.w.lateWrite):
		p.w.running.Go(func() {
			sleep(p.w.ctx, p.w.between(time.Second, 6*time.Second))
			do() // if its condition still holds
		})
		sleep(ctx, 1200*time.Millisecond)
		return &pimento.UnreachableError{Target: storeName, Cause: errSilence}
	case p.w.chance(&p.w.loseWrite):
		if err := p.call(ctx, do); err != nil {
			return err
		}
		sleep(ctx, 1200*time.Millisecond)
		return &pimento.UnreachableError{Target: storeName, Cause: errSilence}
	}
	return p.call(ctx, do)
}

// Get implements pimento.Store.
func (p *process) Get(ctx context.Context, kind pimento.StoreKind, name string) (pimento.Entry, error) {
	var out pimento.Entry
	err := p.call(ctx, func() error {
		p.w.mu.Lock()
		defer p.w.mu.Unlock()
		e, ok := p.w.store[string(kind)+"/"+name]
		if !ok {
			return &pimento.NotFoundError{Object: name}
		}
		out = e
		return nil
	})
	return out, err
}

// List implements pimento.Store.
func (p *process) List(ctx context.Context, kind pimento.StoreKind, fresh pimento.Freshness) (pimento.Listing, error) {
	var out pimento.Listing
	err := p.call(ctx, func() error {
		p.w.mu.Lock()
		defer p.w.mu.Unlock()
		store := p.w.store
		if fresh == pimento.FreshnessStale && p.w.stale != nil {
			store = p.w.stale
		}
		for _, e := range store {
			if e.Kind == kind {
				out.Entries = append(out.Entries, e)
			}
		}
		out.Revision = p.w.revision
		return nil
	})
	return out, err
}

// Watch implements pimento.Store.
func (p *process) Watch(context.Context, pimento.StoreKind, uint64, time.Duration) (pimento.Changes, error) {
	panic("not used here")
}

// Create implements pimento.Store.
func (p *process) Create(ctx context.Context, e pimento.Entry) (pimento.Entry, error) {
	return p.save(ctx, e, 0)
}

// Replace implements pimento.Store.
func (p *process) Replace(ctx context.Context, e pimento.Entry) (pimento.Entry, error) {
	return p.save(ctx, e, e.Revision)
}

func (p *process) save(ctx context.Context, e pimento.Entry, based uint64) (pimento.Entry, error) {
	var out pimento.Entry
	err := p.write(ctx, func() error {
		p.w.mu.Lock()
		defer p.w.mu.Unlock()
		key := string(e.Kind) + "/" + e.Name
		old, exists := p.w.store[key]
		if exists && based == 0 {
			return &pimento.ExistsError{Current: old}
		}
		if old.Revision != based {
			return &pimento.ConflictError{Object: key, Based: based, Current: old.Revision, Entry: old}
		}
		p.w.revision++
		out = e
		out.Revision = p.w.revision
		p.w.store[key] = out
		return nil
	})
	p.w.mu.Lock() // a late write may take effect just now
	defer p.w.mu.Unlock()
	return out, err
}

// Delete implements pimento.Store.
func (p *process) Delete(context.Context, pimento.Entry) error { panic("not used here") }

// Upstreams implements pimento.Source.
func (p *process) Upstreams(ctx context.Context) ([]pimento.Server, error) {
	var out []pimento.Server
	err := p.call(ctx, func() error {
		p.w.mu.Lock()
		defer p.w.mu.Unlock()
		for _, u := range p.w.upstreams {
			if u.listed {
				out = append(out, u.server)
			}
		}
		return nil
	})
	return out, err
}

// Out implements pimento.Source.
func (p *process) Out(ctx context.Context, after uint64, wait time.Duration) ([]pimento.DomainName, bool, uint64, error) {
	if after > 0 {
		sleep(ctx, wait)
	}
	err := p.call(ctx, func() error { return nil })
	return nil, after == 0, 1, err
}

// Call implements Peers.
func (p *process) Call(ctx context.Context, to pimento.Process, m *messenger.Message) (*messenger.Message, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	lost := &pimento.UnreachableError{Target: string(to.ID), Cause: errSilence}
	if !p.w.travel(ctx, string(p.self.Host), string(to.Host)) {
		return nil, lost
	}
	p.w.mu.Lock()
	target, there := p.w.processes[to.ID]
	p.w.mu.Unlock()
	if !there {
		return nil, lost
	}
	answer := make(chan *messenger.Message, 1)
	reply := func(r *messenger.Message) { answer <- r }
	switch {
	case m.Ask != nil:
		target.leader.HandleAsk(p.self.ID, m.Ask, reply)
	case m.Vote != nil:
		target.leader.HandleVote(m.Vote, reply)
	case m.State != nil:
		target.leader.HandleState(p.self.ID, m.State, reply)
	case m.Join != nil:
		target.leader.HandleJoin(m.Join.Process)
		return &messenger.Message{}, nil
	}
	select {
	case r := <-answer:
		if !p.w.travel(ctx, string(to.Host), string(p.self.Host)) {
			return nil, lost
		}
		return r, nil
	case <-ctx.Done():
		return nil, lost
	}
}

// Send implements Peers.
func (p *process) Send(ctx context.Context, to pimento.Process, m *messenger.Message) error {
	_, err := p.Call(ctx, to, m)
	return err
}

// Forget implements Peers.
func (p *process) Forget(pimento.ProcessID) {}

// Manifest implements pimento.Source; the manifest never changes here.
func (p *process) Manifest(context.Context, uint64, time.Duration) ([]byte, uint64, error) {
	return nil, 1, nil
}

// DecodeManifest implements pimento.Source.
func (p *process) DecodeManifest([]byte) (pimento.Manifest, error) { return pimento.Manifest{}, nil }

// simMember is a process as one that is led.
type simMember struct{ *process }

// Apply implements Member.
func (p *process) Apply(s *messenger.State) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.has = s.Versions
	if s.Upstreams == nil {
		return
	}
	if s.Upstreams.Whole || p.told == nil {
		p.told = make(map[pimento.UpstreamName]pimento.State)
	}
	for _, u := range s.Upstreams.Upstreams {
		p.told[u.Name] = u.State
	}
	for _, name := range s.Upstreams.Gone {
		delete(p.told, name)
	}
}

// usedBy returns the processes that still count on an upstream.
func (w *world) usedBy(name pimento.UpstreamName) []pimento.HostName {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []pimento.HostName
	for _, p := range w.processes {
		p.mu.Lock()
		state, ok := p.told[name]
		p.mu.Unlock()
		if ok && state != pimento.StateLeaving {
			out = append(out, p.self.Host)
		}
	}
	return out
}

// Manifest implements Member.
func (m simMember) Manifest() (*pimento.Manifest, []byte) {
	return &pimento.Manifest{Version: 1, Services: []pimento.Service{{Name: simService, Sharing: pimento.SharingKeyed}}}, nil
}

// Versions implements Member.
func (p *process) Versions() messenger.Versions {
	p.mu.Lock()
	defer p.mu.Unlock()
	v := p.has
	v.Manifest = 1
	return v
}

// Report implements Member. A range of hot keys wanders, so that keys move.
func (p *process) Report() messenger.Report {
	base := int(time.Since(p.w.started)/(4*time.Second)) * 9001
	var out []messenger.KeyLoad
	if p.w.isQuiet() {
		return messenger.Report{}
	}
	for i := range 8 {
		out = append(out, messenger.KeyLoad{Service: simService, Key: pimento.Key((base + i*7) % 65536), Count: 2})
	}
	return messenger.Report{Loads: out}
}

// Grant implements Grantor.
func (p *process) Grant(ctx context.Context, to pimento.Server, g pimento.KeyGrant) error {
	ctx, cancel := context.WithTimeout(ctx, 600*time.Millisecond)
	defer cancel()
	lost := &pimento.UnreachableError{Target: string(to.Name), Cause: errSilence}
	if !p.w.travel(ctx, string(p.self.Host), string(to.Name)) {
		return lost
	}
	arrived := time.Now()
	if p.w.chance(&p.w.lateGrant) {
		p.w.running.Go(func() {
			sleep(p.w.ctx, p.w.between(2*time.Second, 12*time.Second))
			p.w.takeGrant(p.self.ID, to, g, arrived)
		})
		<-ctx.Done()
		return lost
	}
	err := p.w.takeGrant(p.self.ID, to, g, arrived)
	if !p.w.travel(ctx, string(to.Name), string(p.self.Host)) {
		return lost
	}
	return err
}

// takeGrant lets an upstream carry out a grant, on a clock that runs 2% slow.
func (w *world) takeGrant(by pimento.ProcessID, to pimento.Server, g pimento.KeyGrant, arrived time.Time) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	u := w.upstreams[to.Name]
	if !u.up || !u.server.Started.Equal(to.Started) {
		return &pimento.UnreachableError{Target: string(to.Name), Cause: errSilence, Unsent: true}
	}
	for _, s := range u.seen {
		if s.Overlaps(g.Range) && s.fence > g.Fence {
			return &pimento.FencedError{Upstream: to.Name, Range: g.Range, Fence: g.Fence}
		}
	}
	until := arrived.Add(g.Hold + g.Hold/50)
	if !time.Now().Before(until) {
		return nil
	}
	w.checkGrant(by, u, g)
	u.see(g.Range, g.Fence)
	u.drop(g.Range)
	u.grants = append(u.grants, grant{KeyRange: g.Range, fence: g.Fence, until: until})
	return nil
}

// checkGrant notes a second holder of keys, and a fence that is not above that
// of another holder. The caller holds mu.
func (w *world) checkGrant(by pimento.ProcessID, u *upstream, g pimento.KeyGrant) {
	now := time.Now()
	for name, o := range w.upstreams {
		if o == u || !o.up {
			continue
		}
		for _, x := range o.grants {
			if x.Overlaps(g.Range) && now.Before(x.until) {
				w.broken = append(w.broken, fmt.Sprintf("%v: by %s %s gets %s with fence %d while %s holds %s with fence %d for %v",
					now.Sub(w.started), by, u.server.Name, g.Range, g.Fence, name, x.KeyRange, x.fence, x.until.Sub(now)))
			}
		}
		for _, x := range o.seen {
			if x.Overlaps(g.Range) && x.fence > g.Fence && slices.ContainsFunc(o.grants, func(y grant) bool { return y.Overlaps(g.Range) && y.fence > g.Fence }) {
				w.broken = append(w.broken, fmt.Sprintf("%v: by %s %s gets %s with fence %d below %d of %s",
					now.Sub(w.started), by, u.server.Name, g.Range, g.Fence, x.fence, name))
			}
		}
	}
}

// see remembers the highest fence of a range.
func (u *upstream) see(r pimento.KeyRange, fence uint64) {
	u.seen = slices.DeleteFunc(u.seen, func(g grant) bool {
		return r.From <= g.From && g.To <= r.To && g.fence <= fence
	})
	u.seen = append(u.seen, grant{KeyRange: r, fence: fence})
}

// drop takes keys out of the grants.
func (u *upstream) drop(r pimento.KeyRange) {
	var out []grant
	for _, g := range u.grants {
		if !g.Overlaps(r) {
			out = append(out, g)
			continue
		}
		if g.From < r.From {
			left := g
			left.To = r.From - 1
			out = append(out, left)
		}
		if r.To < g.To {
			right := g
			right.From = r.To + 1
			out = append(out, right)
		}
	}
	u.grants = out
}

// Release implements Grantor.
func (p *process) Release(ctx context.Context, from pimento.Server, r pimento.KeyRange, fence uint64, wait time.Duration) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	lost := &pimento.UnreachableError{Target: string(from.Name), Cause: errSilence}
	if !p.w.travel(ctx, string(p.self.Host), string(from.Name)) {
		return "", lost
	}
	p.w.mu.Lock()
	u := p.w.upstreams[from.Name]
	if !u.up || !u.server.Started.Equal(from.Started) {
		p.w.mu.Unlock()
		return "", &pimento.UnreachableError{Target: string(from.Name), Cause: errSilence, Unsent: true}
	}
	u.see(r, fence)
	u.drop(r)
	p.w.mu.Unlock()
	sleep(ctx, p.w.between(10*time.Millisecond, 400*time.Millisecond)) // the work that runs
	if !p.w.travel(ctx, string(from.Name), string(p.self.Host)) {
		return "", lost
	}
	return "handover", nil
}

// Probe implements Grantor.
func (p *process) Probe(ctx context.Context, at pimento.Server, _ string) error {
	ctx, cancel := context.WithTimeout(ctx, 600*time.Millisecond)
	defer cancel()
	lost := &pimento.UnreachableError{Target: string(at.Name), Cause: errSilence}
	if !p.w.travel(ctx, string(p.self.Host), string(at.Name)) {
		return lost
	}
	p.w.mu.Lock()
	u := p.w.upstreams[at.Name]
	there := u.up && u.server.Started.Equal(at.Started)
	p.w.mu.Unlock()
	if !there || !p.w.travel(ctx, string(at.Name), string(p.self.Host)) {
		return lost
	}
	return nil
}

// restart lets an upstream begin anew, without keys.
func (w *world) restart(name pimento.UpstreamName) {
	w.mu.Lock()
	defer w.mu.Unlock()
	u := w.upstreams[name]
	u.up, u.listed = true, true
	u.server.State = pimento.StateArriving
	u.server.Started = time.Now()
	u.grants, u.seen = nil, nil
}

func (w *world) setUp(name pimento.UpstreamName, up bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.upstreams[name].up = up
	if !up {
		w.upstreams[name].grants, w.upstreams[name].seen = nil, nil
	}
}

func (w *world) leave(name pimento.UpstreamName) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.upstreams[name].server.State = pimento.StateLeaving
}

// held returns how many keys each upstream that is up holds now.
func (w *world) held() map[pimento.UpstreamName]int {
	w.mu.Lock()
	defer w.mu.Unlock()
	out := make(map[pimento.UpstreamName]int)
	for name, u := range w.upstreams {
		for _, g := range u.grants {
			if u.up && time.Now().Before(g.until) {
				out[name] += g.Len()
			}
		}
	}
	return out
}

// heldKeys returns how many keys an upstream that is up holds now.
func (w *world) heldKeys() int {
	n := 0
	for _, keys := range w.held() {
		n += keys
	}
	return n
}

// acting returns the processes that have authority.
func (w *world) acting() []pimento.ProcessID {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []pimento.ProcessID
	for id, p := range w.processes {
		if p.leader.HasAuthority() {
			out = append(out, id)
		}
	}
	return out
}

func (w *world) failures() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.broken)
}
