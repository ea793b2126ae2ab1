package claimer

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"testing"
	"time"

	"pimentorelay.example/pimento"
	"pimentorelay.example/pimento/confirmer"
	"pimentorelay.example/pimento/planner"
)

// The decision machines of several processes run on a virtual clock, under a
// generated schedule of faults. After every step the rights are checked.

const (
	simTick      = 5 * time.Millisecond
	settleTime   = 600 * time.Millisecond
	faultTime    = 4200 * time.Millisecond
	recoveryTime = 8 * time.Second
	simProcesses = 5
	simUpstreams = 4
)

// The seeds are fixed, so that every run gives the same verdict. More seeds, or
// one: go test ./claimer -run Faults -sim.first=100 -sim.seeds=1000
var (
	firstSeed = flag.Uint64("sim.first", 1, "first seed of the simulation")
	seedCount = flag.Uint64("sim.seeds", 160, "number of seeds of the simulation")
	verbose   = flag.Bool("sim.trace", false, "print the events of the simulation")
)

// faultKind is what a fault does.
type faultKind string

const (
	faultCrash     faultKind = "Crash" // and a restart under a new identity at the end
	faultPause     faultKind = "Pause"
	faultCut       faultKind = "Cut" // one way, from one process to another
	faultIsolate   faultKind = "Isolate"
	faultStoreDown faultKind = "StoreDown"
	faultStoreSlow faultKind = "StoreSlow"
	faultLoseWrite faultKind = "LoseAnswer"
	faultUpstream  faultKind = "LoseUpstream"
	faultDomainOut faultKind = "DomainOut"
	faultLeave     faultKind = "Leave"
)

var faultKinds = []faultKind{
	faultCrash, faultPause, faultCut, faultIsolate, faultStoreDown, faultStoreSlow, faultLoseWrite, faultUpstream,
	faultDomainOut, faultLeave,
}

// fault is one fault of a schedule.
type fault struct {
	Kind   faultKind
	At     time.Duration // after the start
	For    time.Duration
	Target int
	Other  int
}

// schedule draws faults that fall into the same few seconds, in every fourth
// schedule from the start on.
func schedule(rng *rand.Rand) []fault {
	out := make([]fault, 2+rng.IntN(6))
	first := settleTime
	if rng.IntN(4) == 0 {
		first = 0
	}
	aim := rng.IntN(simProcesses) // half of the faults hit the same process
	for i := range out {
		target := aim
		if rng.IntN(2) == 0 {
			target = rng.IntN(simProcesses)
		}
		out[i] = fault{
			Kind:   faultKinds[rng.IntN(len(faultKinds))],
			At:     first + time.Duration(rng.IntN(2000))*time.Millisecond,
			For:    time.Duration(30+rng.IntN(1500)) * time.Millisecond,
			Target: target,
			Other:  rng.IntN(simProcesses),
		}
	}
	if rng.IntN(2) == 0 { // no new plan comes to the rescue
		out = append(out, fault{Kind: faultStoreDown, At: first, For: 3 * time.Second})
	}
	return out
}

func TestAtMostOneOwnerUnderFaults(t *testing.T) {
	workers := uint64(runtime.GOMAXPROCS(0))
	for w := range workers {
		t.Run(fmt.Sprintf("worker %d", w), func(t *testing.T) {
			t.Parallel()
			for seed := *firstSeed + w; seed < *firstSeed+*seedCount; seed += workers {
				s := newSimulation(seed)
				if err := s.run(); err != nil {
					t.Errorf("seed %d: %v\nfaults: %+v", seed, err, s.faults)
				}
			}
		})
	}
}

// regressions are schedules that once broke a promise.
var regressions = []struct {
	name   string
	seed   uint64
	faults []fault
}{
	{
		name: "a withdrawn process carries authority of an earlier epoch", seed: 9,
		faults: []fault{
			{faultLoseWrite, 88 * time.Millisecond, 2432 * time.Millisecond, 1, 4},
			{faultStoreSlow, 121 * time.Millisecond, 1232 * time.Millisecond, 3, 3},
			{faultCrash, 79 * time.Millisecond, 188 * time.Millisecond, 2, 3},
			{faultCrash, 70 * time.Millisecond, 50 * time.Millisecond, 4, 1},
			{faultCut, 1 * time.Millisecond, 51 * time.Millisecond, 0, 4},
		},
	},
}

func TestRegressions(t *testing.T) {
	for _, r := range regressions {
		t.Run(r.name, func(t *testing.T) {
			t.Parallel()
			for seed := r.seed; seed < r.seed+100; seed++ {
				s := newSimulation(seed)
				s.faults = r.faults
				if err := s.run(); err != nil {
					t.Fatalf("seed %d: %v", seed, err)
				}
			}
		})
	}
}

// simProcess is one process of the simulation.
type simProcess struct {
	info    pimento.Process
	confirm *confirmer.Machine
	claim   *Machine
	plan    pimento.Plan
	dead    bool
	leaving bool
	paused  time.Time
	beatAt  time.Time
	leadAt  time.Time
	drains  map[pimento.SliceID]time.Time
	stored  uint64 // epoch last read from the store
	hellos  map[pimento.ProcessID]bool
}

// delivery is a message on its way.
type delivery struct {
	at time.Time
	to *simProcess
	do func(now time.Time)
}

type simulation struct {
	rng     *rand.Rand
	now     time.Time
	start   time.Time
	faults  []fault
	config  pimento.Config
	version uint64
	all     []*simProcess
	seats   [simProcesses]*simProcess // the present process of each address
	queue   []delivery
	history []pimento.Plan // by epoch, from 1
	fences  map[pimento.UpstreamName]uint64
}

func newSimulation(seed uint64) *simulation {
	start := time.Unix(1_700_000_000, 0)
	rng := rand.New(rand.NewPCG(seed, 1))
	s := &simulation{
		rng: rng, now: start, start: start, faults: schedule(rng), version: 1,
		fences: make(map[pimento.UpstreamName]uint64),
	}
	s.config.Services = []pimento.Service{{Name: "keys", Sharing: pimento.SharingKeyed, Fencing: pimento.FencingChecked}}
	for i := range 3 {
		d := pimento.DomainName(fmt.Sprintf("d%d", i))
		s.config.Domains = append(s.config.Domains, pimento.Domain{Name: d, State: pimento.StateIn})
	}
	for i := range simUpstreams {
		h := pimento.HostName(fmt.Sprintf("h%d", i))
		s.config.Hosts = append(s.config.Hosts, pimento.Host{Name: h, Domain: s.config.Domains[i%3].Name, State: pimento.StateArriving})
		s.config.Servers = append(s.config.Servers, pimento.Server{Name: pimento.UpstreamName(fmt.Sprintf("u%d", i)), Service: "keys", Host: h, Slots: 4})
	}
	for i := range simProcesses {
		s.startProcess(i)
	}
	return s
}

// startProcess starts a new process at an address.
func (s *simulation) startProcess(seat int) {
	id := pimento.ProcessID(fmt.Sprintf("p%d.%d", seat, len(s.all)))
	p := &simProcess{
		info:    pimento.Process{ID: id, Domain: s.config.Domains[seat%3].Name, Started: s.now},
		confirm: confirmer.New(id, confirmer.DefaultTiming()), claim: New(id),
		drains: make(map[pimento.SliceID]time.Time), hellos: make(map[pimento.ProcessID]bool),
	}
	s.all = append(s.all, p)
	s.seats[seat] = p
}

// active returns whether a fault of a kind is active for a target.
func (s *simulation) active(kind faultKind, target, other int) bool {
	return slices.ContainsFunc(s.faults, func(f fault) bool {
		since := s.now.Sub(s.start) - f.At
		fits := (target < 0 || f.Target == target) && (other < 0 || f.Other == other)
		return f.Kind == kind && fits && since >= 0 && since < f.For
	})
}

func (s *simulation) run() error {
	for s.now.Sub(s.start) < faultTime+recoveryTime {
		if s.now.Sub(s.start) > faultTime && s.checkRecovered() == nil {
			return nil
		}
		s.now = s.now.Add(simTick)
		s.applyFaults()
		s.deliver()
		for seat, p := range s.seats {
			if p.dead || s.now.Before(p.paused) {
				continue
			}
			s.step(seat, p)
			if err := s.check(); err != nil {
				return err
			}
		}
	}
	return s.checkRecovered()
}

func (s *simulation) applyFaults() {
	for seat, p := range s.seats {
		if s.active(faultCrash, seat, -1) {
			p.dead = true
		} else if p.dead {
			s.startProcess(seat)
		}
		if s.active(faultPause, seat, -1) {
			p.paused = s.now.Add(simTick)
		}
		p.leaving = p.leaving || s.active(faultLeave, seat, -1)
	}
	for i := range s.config.Domains {
		state := pimento.StateIn
		if s.active(faultDomainOut, i, -1) {
			state = pimento.StateOut
		}
		if s.config.Domains[i].State != state {
			s.config.Domains = slices.Clone(s.config.Domains)
			s.config.Domains[i].State = state
			s.version++
		}
	}
}

// send delivers a message later, or never.
func (s *simulation) send(from, to int, do func(now time.Time)) {
	cut := s.active(faultCut, from, to) || s.active(faultIsolate, from, -1) || s.active(faultIsolate, to, -1)
	if cut {
		return
	}
	delay := time.Duration(1+s.rng.IntN(8)) * time.Millisecond
	if s.rng.IntN(50) == 0 {
		delay += time.Duration(s.rng.IntN(400)) * time.Millisecond
	}
	s.queue = append(s.queue, delivery{at: s.now.Add(delay), to: s.seats[to], do: do})
}

func (s *simulation) deliver() {
	slices.SortStableFunc(s.queue, func(a, b delivery) int { return a.at.Compare(b.at) })
	var rest []delivery
	due := s.queue
	s.queue = nil
	for _, m := range due {
		switch {
		case m.to.dead:
		case m.at.After(s.now) || s.now.Before(m.to.paused):
			rest = append(rest, m)
		default:
			m.do(s.now)
		}
	}
	s.queue = append(s.queue, rest...)
}

func (s *simulation) seatOf(id pimento.ProcessID) int {
	return slices.IndexFunc(s.seats[:], func(p *simProcess) bool { return p.info.ID == id })
}

// step lets a process act.
func (s *simulation) step(seat int, p *simProcess) {
	p.confirm.Tick(s.now)
	if !p.leadAt.After(s.now) {
		p.leadAt = s.now.Add(50 * time.Millisecond)
		s.watch(seat, p)
		s.lead(seat, p)
	}
	for i, srv := range s.config.Servers {
		if r, ok := p.claim.upstreams[srv.Name]; ok && r.inUse() && s.active(faultUpstream, i, -1) {
			p.confirm.Withdraw([]pimento.UpstreamName{srv.Name})
		}
	}
	if !p.beatAt.After(s.now) {
		p.beatAt = s.now.Add(confirmer.DefaultTiming().Heartbeat)
		s.beat(seat, p)
	}
	s.claimStep(seat, p)
}

func (s *simulation) claimStep(seat int, p *simProcess) {
	for _, e := range p.claim.Step(s.now, p.confirm) {
		s.trace(p, e)
		switch e.Kind {
		case EffectTakeUpstream:
			if e.Fence < s.fences[e.Upstream] {
				panic(fmt.Sprintf("fence of %s went down from %d to %d", e.Upstream, s.fences[e.Upstream], e.Fence))
			}
			s.fences[e.Upstream] = e.Fence
		case EffectStopSlice:
			p.drains[e.Slice] = s.now.Add(time.Duration(s.rng.IntN(100)) * time.Millisecond)
		case EffectAsk:
			s.askHandover(seat, p, e)
		}
	}
	for id, at := range p.drains {
		if !at.After(s.now) || !s.now.Before(p.confirm.AuthorityUntil()) {
			delete(p.drains, id)
			p.claim.DrainedSlice(id)
		}
	}
	for name, r := range p.claim.upstreams {
		busy := false
		for _, sl := range p.claim.slices {
			busy = busy || sl.upstream == name && sl.inUse()
		}
		if r.phase == phaseDraining && !busy {
			p.claim.DrainedUpstream(name)
		}
	}
}

// trace prints an effect, but for questions and all slices but one.
func (s *simulation) trace(p *simProcess, e Effect) {
	if *verbose && e.Kind != EffectAsk && e.Slice.Start == 0 {
		fmt.Printf("%8s %s %s %s until %s\n", s.now.Sub(s.start), p.info.ID, e.Kind, e.Upstream, p.confirm.AuthorityUntil().Sub(s.start))
	}
}

func (s *simulation) askHandover(seat int, p *simProcess, e Effect) {
	to := s.seatOf(e.To)
	if to < 0 {
		return
	}
	q := s.seats[to]
	s.send(seat, to, func(time.Time) {
		s.claimStep(to, q)
		a := q.claim.Asked(e.Ask)
		s.send(to, seat, func(now time.Time) { p.claim.Answered(now, e.Ask, a) })
	})
}

func (s *simulation) beat(seat int, p *simProcess) {
	ask := pimento.ConfirmAsk{From: p.info.ID, Epoch: p.confirm.Epoch(), Lost: p.confirm.Withdrawn().Upstreams, Leaving: p.leaving}
	for _, id := range p.confirm.Peers() {
		to := s.seatOf(id)
		if to < 0 {
			continue
		}
		q, sentAt := s.seats[to], s.now
		s.send(seat, to, func(now time.Time) {
			a := q.confirm.Ask(now, ask)
			q.hellos[ask.From] = true
			s.send(to, seat, func(now time.Time) {
				p.confirm.Answer(now, sentAt, a)
				if a.Epoch > p.confirm.Epoch() {
					plan := q.plan
					s.send(to, seat, func(now time.Time) { s.learn(now, p, plan) })
				}
			})
		})
	}
}

func (s *simulation) learn(now time.Time, p *simProcess, plan pimento.Plan) {
	if p.confirm.Learn(now, plan) {
		if *verbose {
			fmt.Printf("%8s %s learns %d by %s: %v prior %v, %v\n", now.Sub(s.start), p.info.ID, plan.Epoch, plan.Writer, plan.Confirmers, plan.PriorConfirmers, plan.Upstreams)
		}
		p.plan = plan
		p.claim.Learn(plan)
		clear(p.hellos)
	}
}

func (s *simulation) storeDown() bool { return s.active(faultStoreDown, -1, -1) }

// watch learns the plan in the store.
func (s *simulation) watch(seat int, p *simProcess) {
	if s.storeDown() || s.active(faultStoreSlow, -1, -1) && s.rng.IntN(10) > 0 || len(s.history) == 0 {
		return
	}
	plan := s.history[len(s.history)-1]
	p.stored = plan.Epoch
	s.send(seat, seat, func(now time.Time) { s.learn(now, p, plan) })
}

// lead writes the next plan. Two may do so at the same time.
func (s *simulation) lead(seat int, p *simProcess) {
	ended := func(id pimento.ProcessID) bool { return s.seatOf(id) < 0 }
	first := slices.IndexFunc(p.plan.Confirmers, func(id pimento.ProcessID) bool {
		return !slices.Contains(p.confirm.Suspects(), id) && !ended(id)
	})
	turn := first < 0 || p.plan.Confirmers[first] == p.info.ID || s.rng.IntN(40) == 0
	if s.storeDown() || p.stored != p.confirm.Epoch() || !turn || !p.confirm.InForce(ended) {
		return
	}
	in := planner.Input{
		Self: p.info.ID, Prior: p.plan, Config: s.config, ConfigVersion: s.version, Balance: s.rng.IntN(10) == 0,
		Registered: slices.Clone(p.plan.Processes), Ended: make(map[pimento.ProcessID]bool), Suspected: make(map[pimento.ProcessID]bool),
		Reports: make(map[pimento.UpstreamName]pimento.UpstreamReport),
	}
	w := p.confirm.Withdrawn()
	for _, id := range w.Processes {
		in.Suspected[id] = true
	}
	for _, name := range w.Upstreams {
		in.Reports[name] = pimento.UpstreamReport{Upstream: name, Condition: pimento.ConditionLost}
	}
	for _, q := range s.seats {
		if _, listed := p.plan.Process(q.info.ID); !listed && (p.hellos[q.info.ID] || q == p) {
			in.Registered = append(in.Registered, q.info)
		}
	}
	for i := range in.Registered {
		r := &in.Registered[i]
		in.Ended[r.ID] = ended(r.ID)
		if q := s.seatOf(r.ID); q >= 0 {
			r.Leaving = s.seats[q].leaving
		}
	}
	next, changed := planner.Next(in)
	if !changed {
		return
	}
	based := p.plan.Epoch
	lost := s.active(faultLoseWrite, -1, -1)
	s.send(seat, seat, func(now time.Time) { s.write(now, seat, p, next, based, lost) })
}

// write is the conditional write in the store.
func (s *simulation) write(_ time.Time, seat int, p *simProcess, next pimento.Plan, based uint64, lost bool) {
	if s.storeDown() || uint64(len(s.history)) != based {
		return
	}
	s.history = append(s.history, next)
	if !lost {
		s.send(seat, seat, func(now time.Time) { p.stored = next.Epoch; s.learn(now, p, next) })
	}
}

// check looks at everything that must always hold.
func (s *simulation) check() error {
	slicesUsed := make(map[pimento.SliceID]pimento.ProcessID)
	upstreamsUsed := make(map[pimento.UpstreamName]pimento.ProcessID)
	for _, p := range s.seats {
		if p.dead || !s.now.Before(p.confirm.AuthorityUntil()) {
			continue
		}
		for id, r := range p.claim.slices {
			if !r.inUse() {
				continue
			}
			if other, twice := slicesUsed[id]; twice {
				return fmt.Errorf("%s: slice %v is used by %s and %s", s.now.Sub(s.start), id, other, p.info.ID)
			}
			slicesUsed[id] = p.info.ID
		}
		for name, r := range p.claim.upstreams {
			if other, twice := upstreamsUsed[name]; twice && r.inUse() {
				return fmt.Errorf("%s: upstream %s is used by %s and %s", s.now.Sub(s.start), name, other, p.info.ID)
			}
			if r.inUse() {
				upstreamsUsed[name] = p.info.ID
			}
		}
	}
	return s.checkPlans()
}

// checkPlans sees that no process has a plan that is not the written one.
func (s *simulation) checkPlans() error {
	for _, p := range s.seats {
		e := p.confirm.Epoch()
		if e > uint64(len(s.history)) || e > 0 && s.history[e-1].Writer != p.plan.Writer {
			return fmt.Errorf("%s has a plan of epoch %d that was not written", p.info.ID, e)
		}
	}
	return nil
}

// checkRecovered sees that every slice is used again after the faults.
func (s *simulation) checkRecovered() error {
	last := s.history[len(s.history)-1]
	held := 0
	for _, p := range s.seats {
		for _, r := range p.claim.slices {
			if r.phase == phaseHeld && s.now.Before(p.confirm.AuthorityUntil()) {
				held++
			}
		}
	}
	staying := slices.ContainsFunc(s.seats[:], func(p *simProcess) bool { return !p.leaving })
	if want := len(last.Services[0].Slices); staying && held != want {
		return fmt.Errorf("after the faults %d of %d slices are used", held, want)
	}
	return nil
}
