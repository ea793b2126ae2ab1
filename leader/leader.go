// Package leader lets one process at a time decide which upstream holds which
// keys and which processes dispatch, and carry that out.
//
// Every process runs a Leader. One goroutine owns the decision machines
// (packages elector and keeper); everything that waits runs beside it and
// hands its results back as functions. A process that leads
//
//   - asks the members several times a second, which gives it authority and
//     tells it their loads (ask.go),
//   - reads the registered upstreams from the store (registry.go),
//   - plans, and writes the assignment under a condition (plan.go),
//   - grants, renews and takes back keys (grants.go),
//   - sends the members what they lack (push.go).
//
// A process that does not lead stands for election when it hears no leader
// (stand.go).
//
// # Usage
//
//	l := &leader.Leader{Self: process, Store: store, ...}
//	go l.Run(ctx)
//	reply := l.HandleAsk(ask)
package leader

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"pimentorelay.example/pimento"
	"pimentorelay.example/pimento/elector"
	"pimentorelay.example/pimento/keeper"
	"pimentorelay.example/pimento/messenger"
	"pimentorelay.example/pimento/quarantiner"
	"pimentorelay.example/pimento/recorder"
	"pimentorelay.example/pimento/timekeeper"
)

const (
	// tick is the time between two steps of the machines.
	tick = 40 * time.Millisecond
	// inboxSize bounds the results that wait for the machines.
	inboxSize = 1024
)

// The kinds of entries that the system keeps in the store.
const (
	// KindProcesses holds the processes, under the names of their hosts.
	KindProcesses pimento.StoreKind = "relay-processes"
	// KindAssignment holds the assignment under the name AssignmentName.
	KindAssignment pimento.StoreKind = "relay-assignment"
	// AssignmentName is the name of the assignment.
	AssignmentName = "main"
)

// Peers calls other processes.
type Peers interface {
	Call(ctx context.Context, to pimento.Process, m *messenger.Message) (*messenger.Message, error)
	Send(ctx context.Context, to pimento.Process, m *messenger.Message) error
	Forget(id pimento.ProcessID)
}

// Grantor calls upstreams.
type Grantor interface {
	// Grant gives keys or renews a grant; see connector.Client.
	Grant(ctx context.Context, to pimento.Server, g pimento.KeyGrant) error
	// Release takes keys back and returns the handover.
	Release(ctx context.Context, from pimento.Server, span pimento.KeyRange, fence uint64, wait time.Duration) (string, error)
	// Probe asks for a sign of life.
	Probe(ctx context.Context, at pimento.Server, path string) error
}

// Member is what the Leader needs of its own process as one that is led.
type Member interface {
	// Apply takes over parts of the state.
	Apply(s *messenger.State)
	// Manifest returns the manifest in force here, nil if none is known, and as
	// it stands in the store.
	Manifest() (*pimento.Manifest, []byte)
	// Report returns what this process measured since the last report.
	Report() messenger.Report
	// Versions returns the versions of the state known here.
	Versions() messenger.Versions
}

// Leader is the part of a process that may lead. Set the exported fields
// before Run.
type Leader struct {
	Self    pimento.Process
	Store   pimento.Store
	Source  pimento.Source
	Peers   Peers
	Member  Member
	Events  *recorder.Recorder
	Timing  elector.Timing
	Keys    keeper.Timing
	Grantor Grantor

	inbox    chan func()
	elector  *elector.Machine
	keeper   *keeper.Machine
	leaving  atomic.Bool
	leads    atomic.Bool
	led      atomic.Bool
	termSeen atomic.Pointer[pimento.Term]
	storeAt  atomic.Int64 // when the store last answered, in Unix nanoseconds of timekeeper

	// authority is the end of this process's authority, in Unix nanoseconds.
	authority atomic.Int64

	standing   bool
	standAt    time.Time                              // when to stand next
	standPause timekeeper.Backoff                     // where the store does not answer
	lacksSince time.Time                              // since when this process may stand
	registered map[pimento.HostName]registeredProcess // as last read from the store
	assignment *pimento.Assignment                    // as it stands in the store, as far as known
	revision   uint64                                 // of the assignment
	joinAt     time.Time                              // when to join the leader next
	termAt     time.Time                              // when the confirmers last changed
	balancedAt time.Time                              // when the balance was looked at last
	lead       *term                                  // nil unless this process leads
}

// term is what a process that leads knows.
type term struct {
	ctx    context.Context
	cancel context.CancelFunc

	members   map[pimento.ProcessID]*member
	upstreams registry
	loads     loads
	crashers  *quarantiner.Machine
	blocked   []quarantiner.Print              // requests that all are to refuse
	speeds    map[pimento.UpstreamName]float64 // requests a second
	versions  messenger.Versions
	owners    []messenger.Owner
	roster    *messenger.Roster
	own       snapshot                                // as this process itself was told
	runs      map[pimento.UpstreamName]pimento.Server // last known addresses
	queues    map[pimento.UpstreamName]*queue
	down      map[pimento.UpstreamName]pimento.Run // given up, and not reached since
	probing   map[pimento.UpstreamName]bool

	reportAt    time.Time // when this process's own loads are counted next
	authorityAt time.Time // when this process last had authority

	listBackoff timekeeper.Backoff

	listAt   time.Time // when the upstreams are to be read next
	listing  bool
	verifyAt time.Time
	planAt   time.Time
	writing  bool
	moves    []string  // of the plan that is being made or written, for the log
	joinAt   time.Time // when the registered processes are to be read next
	reading  bool
	dirtyAt  time.Time // since when the assignment names former holders that are gone
}

// Run leads or stands by until ctx ends.
func (l *Leader) Run(ctx context.Context) error {
	l.elector = elector.New(l.Self.ID, l.Timing)
	l.elector.Strength = l.strength
	l.standPause = timekeeper.Backoff{Least: standRetry, Most: standRetryMost}
	l.registered = make(map[pimento.HostName]registeredProcess)
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case do := <-l.inbox:
			do()
		case <-ticker.C:
		}
		l.step(ctx)
	}
}

// Init makes the Leader ready for messages. It is called before Run.
func (l *Leader) Init() {
	l.inbox = make(chan func(), inboxSize)
}

// Leave says that this process is about to end.
func (l *Leader) Leave() { l.leaving.Store(true) }

// HasStore reports whether the store has answered this process lately.
func (l *Leader) HasStore() bool {
	return timekeeper.Now().UnixNano()-l.storeAt.Load() < int64(storeFresh)
}

// storeFresh is how long ago the store may have answered to count as reached.
const storeFresh = 900 * time.Millisecond

// Term returns the latest term that is known here.
func (l *Leader) Term() pimento.Term {
	if t := l.termSeen.Load(); t != nil {
		return *t
	}
	return pimento.Term{}
}

// Leads reports whether this process leads.
func (l *Leader) Leads() bool { return l.leads.Load() }

// IsLed reports whether this process leads, or hears a leader that tells it what
// is new in the store.
func (l *Leader) IsLed() bool { return l.Leads() || l.led.Load() }

// noteStore records an answer of the store.
func (l *Leader) noteStore() { l.storeAt.Store(timekeeper.Now().UnixNano()) }

// StoreAnswered tells that the store answered another part of the process.
func (l *Leader) StoreAnswered() { l.noteStore() }

// post hands a result to the machines.
func (l *Leader) post(ctx context.Context, do func()) {
	select {
	case l.inbox <- do:
	case <-ctx.Done():
	}
}

// postTerm is post for a result that matters only while the term lasts.
func (l *Leader) postTerm(t *term, do func()) {
	l.post(t.ctx, func() {
		if l.lead == t {
			do()
		}
	})
}

// ended reports whether a process has ended for certain: another one has
// registered under its host.
func (l *Leader) ended(id pimento.ProcessID) bool {
	if l.assignment == nil || id == l.Self.ID {
		return false
	}
	m, ok := l.assignment.Member(id)
	if !ok {
		return false
	}
	now, ok := l.registered[m.Host]
	return ok && now.process.ID != id
}

// step brings the machines up to now and carries out what they ask for.
func (l *Leader) step(ctx context.Context) {
	now := timekeeper.Now()
	l.elector.Tick(now, l.ended)
	l.authority.Store(nanos(l.elector.AuthorityUntil()))
	l.leads.Store(l.elector.Leads())
	l.led.Store(l.elector.IsLed(now))
	if t := l.elector.Term(); l.Term().Epoch != t.Epoch {
		l.termSeen.Store(&t)
	}
	if l.elector.Leads() && l.lead == nil {
		l.beginTerm(ctx, now)
	}
	if !l.elector.Leads() && l.lead != nil {
		l.endTerm()
	}
	if l.lead != nil {
		l.act(now)
		return
	}
	if !l.elector.MayStand(now, l.ended) {
		l.lacksSince = time.Time{}
	} else if !l.leaving.Load() {
		l.stand(ctx, now)
	}
	l.join(ctx, now)
}

func nanos(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixNano()
}

// HasAuthority reports whether this process may act as the leader now.
func (l *Leader) HasAuthority() bool { return timekeeper.Now().UnixNano() < l.authority.Load() }

// beginTerm starts to lead.
func (l *Leader) beginTerm(ctx context.Context, now time.Time) {
	t := &term{
		members: make(map[pimento.ProcessID]*member), speeds: make(map[pimento.UpstreamName]float64),
		runs: make(map[pimento.UpstreamName]pimento.Server), queues: make(map[pimento.UpstreamName]*queue),
		down: make(map[pimento.UpstreamName]pimento.Run), probing: make(map[pimento.UpstreamName]bool),
		listBackoff: timekeeper.Backoff{Least: listRetry, Most: listRetryMost},
	}
	t.ctx, t.cancel = context.WithCancel(ctx)
	t.loads.init()
	t.crashers = quarantiner.New()
	l.lead = t
	l.keeper = keeper.New(l.Keys)
	l.keeper.Adopt(now, l.assignment)
	l.adoptMembers(now)
	l.Events.Emit(pimento.EventLeading, "Epoch", l.elector.Term().Epoch, "Revision", l.revision, "Confirmers", len(l.elector.Term().Confirmers))
	go l.followOut(t)
}

// endTerm stops leading.
func (l *Leader) endTerm() {
	l.Events.Emit(pimento.EventLeadingEnded, "Epoch", l.elector.Term().Epoch, "Leader", l.elector.Term().Leader)
	l.lead.cancel()
	l.lead = nil
	l.keeper = nil
}

// act does what is due for one who leads.
func (l *Leader) act(now time.Time) {
	t := l.lead
	if l.HasAuthority() || t.authorityAt.IsZero() {
		t.authorityAt = now
	}
	l.askMembers(now)
	if !now.Before(t.reportAt) {
		t.reportAt = now.Add(l.Timing.Ask)
		t.takeReport(now, l.Member.Report())
	}
	if !t.listing && !now.Before(t.listAt) {
		l.listUpstreams(now)
	}
	if l.HasStore() { // the list of upstreams finds out when it is back
		if !now.Before(t.verifyAt) {
			l.verify(now)
		}
		if !t.reading && !now.Before(t.joinAt) {
			l.readProcesses(now)
		}
	}
	in := l.input()
	for _, c := range l.keeper.Step(now, in) {
		l.call(c)
	}
	l.probeLost()
	if !t.writing && !now.Before(t.planAt) {
		t.planAt = now.Add(planPause)
		l.plan(now, in)
	}
	l.noteOwners(now, in)
	l.push()
}

// input returns what the keeper needs to know.
func (l *Leader) input() keeper.Input {
	settled, ok := l.elector.SettledAt()
	if !ok {
		settled = timekeeper.Now().Add(l.Timing.Blind)
	}
	return keeper.Input{
		Authority: l.elector.AuthorityUntil(), Settled: settled,
		Ended: l.lead.upstreams.ended,
		Known: func(r pimento.Run) bool { _, ok := l.lead.address(r); return ok },
	}
}

// jitter returns a random part of d.
func jitter(d time.Duration) time.Duration { return rand.N(d) }

// manifest returns the manifest in force here, nil if none is known.
func (l *Leader) manifest() *pimento.Manifest {
	m, _ := l.Member.Manifest()
	return m
}
