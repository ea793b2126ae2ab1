// Package leader elects one process as the leader, which decides which upstream
// holds which keys and which processes dispatch, and carries out the decisions.
//
// Every process runs a Leader. One goroutine owns the state machines (packages
// elector and keeper); blocking calls run in goroutines of their own and post
// their results to it as functions. The leader
//
//   - sends heartbeats to the members several times a second, which give it
//     authority and return their load reports (heartbeat.go),
//   - reads the registered upstreams from the store (registry.go),
//   - plans, and writes the assignment conditionally (plan.go),
//   - grants, renews and releases keys (grants.go),
//   - sends the members the state that they do not have yet (push.go).
//
// Any other process campaigns when it has no leader (campaign.go).
//
// # Usage
//
//	l := &leader.Leader{Self: process, Store: store, ...}
//	l.Init()
//	go l.Run(ctx)
//	l.HandleHeartbeat(from, heartbeat, reply)
package leader

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"pimentorelay.example/pimento"
	"pimentorelay.example/pimento/allocator"
	"pimentorelay.example/pimento/elector"
	"pimentorelay.example/pimento/keeper"
	"pimentorelay.example/pimento/limiter"
	"pimentorelay.example/pimento/messenger"
	"pimentorelay.example/pimento/quarantiner"
	"pimentorelay.example/pimento/recorder"
	"pimentorelay.example/pimento/timekeeper"
)

const (
	// stepInterval is the time between two steps of the state machines.
	stepInterval = 40 * time.Millisecond
	// inboxSize bounds the results that are queued for the state machines.
	inboxSize = 1024
)

// The kinds of entries that the system keeps in the store.
const (
	// KindProcesses holds the processes, named by their hosts.
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
	// Grant grants keys or renews a grant; see connector.Client.
	Grant(ctx context.Context, to pimento.Server, g pimento.KeyGrant) error
	// Release revokes a grant and returns the handover.
	Release(ctx context.Context, from pimento.Server, span pimento.KeyRange, fence uint64, wait time.Duration) (string, error)
	// Probe checks whether an upstream answers.
	Probe(ctx context.Context, at pimento.Server, path string) error
}

// Member is the follower side of the Leader's own process.
type Member interface {
	// Apply replaces the parts of the state that s contains.
	Apply(s *messenger.State)
	// Manifest returns the manifest in force here, nil if none is known, and its
	// encoding in the store.
	Manifest() (*pimento.Manifest, []byte)
	// ManifestReadAt returns when the last answered read of the manifest in the store
	// by this process began, zero if there was none.
	ManifestReadAt() time.Time
	// ManifestRead returns the last answered read of the whole manifest in the store
	// by this process.
	ManifestRead() ManifestRead
	// ManifestConfirmed is called with a read by the leader, dated by the clock of this
	// process.
	ManifestConfirmed(r ManifestRead)
	// UpstreamsConfirmed is called with a read by the leader, dated by the clock of this
	// process.
	UpstreamsConfirmed(r UpstreamsRead)
	// KnownUpstreams returns the upstreams that are in force here. Nobody modifies them.
	KnownUpstreams() KnownUpstreams
	// Report returns the measurements since the last report.
	Report() messenger.Report
	// CreditsGranted is called with what the leader of an epoch grants of the quotas of
	// customers; nil: nothing.
	CreditsGranted(epoch uint64, c *messenger.Credits)
	// Versions returns the versions of the state that this process has.
	Versions() messenger.Versions
	// Process returns a process of the roster that the leader has sent.
	Process(id pimento.ProcessID) (pimento.Process, bool)
	// Announced is called with the versions that the leader has, as its
	// heartbeats say.
	Announced(v messenger.Versions)
}

// Leader takes part in elections and leads while elected. Set the exported
// fields before Run.
type Leader struct {
	Self          pimento.Process
	Store         pimento.Store
	Source        pimento.Source
	Peers         Peers
	Member        Member
	Events        *recorder.Recorder
	ElectorTiming elector.Timing
	KeeperTiming  keeper.Timing
	Grantor       Grantor
	// Bounds returns the bounds in force; nil: those of pimento.DefaultBounds.
	Bounds func() pimento.Bounds
	// OnStateSent is called after a state was sent to a member, with the size of
	// the manifest in it in bytes; it may be nil.
	OnStateSent func(manifestBytes int, took time.Duration, err error)
	// OnEra is called with each new era of the store that this process hears of and
	// the one before, zero at first; it may be nil.
	OnEra func(era, former uint64)
	// OnDelay is called with the time that each message has waited for the loop; it may
	// be nil.
	OnDelay func(waited time.Duration)

	delay           delay
	quotas          atomic.Pointer[[]pimento.QuotaReport] // nil unless this process leads
	ranges          atomic.Int64                          // of keys, zero unless this process leads
	members         atomic.Int64                          // of the newest stored assignment that is known here
	inbox           chan func()
	stampID         uint64 // in the stamps of this process
	elector         *elector.Machine
	keeper          *keeper.Machine
	leaving         atomic.Bool
	leading         atomic.Bool
	following       atomic.Bool
	leaderHasStore  atomic.Bool
	leaderLostStore atomic.Bool
	latestTerm      atomic.Pointer[pimento.Term]
	storeAnsweredAt atomic.Int64  // Unix nanoseconds of timekeeper
	storeEra        atomic.Uint64 // highest era of the store that this process has heard of
	eraHeardAt      atomic.Int64  // when it first heard of that one, in Unix nanoseconds of timekeeper
	outages         outages

	// authorityUntil is the end of this process's authority, in Unix nanoseconds.
	authorityUntil atomic.Int64

	campaigning         bool
	hasCampaigned       bool                                   // or has begun to
	knowsProcesses      bool                                   // has read them from the store in a campaign
	heardLeader         bool                                   // a leader's heartbeat has reached this process
	campaignAt          time.Time                              // when to campaign next
	campaignBackoff     timekeeper.Backoff                     // while the store does not answer
	leaderlessSince     time.Time                              // since when this process may campaign
	registered          map[pimento.HostName]registeredProcess // as last read from the store or received in a Join
	assignment          *pimento.Assignment                    // newest known
	revision            pimento.Revision                       // of the stored assignment, as last seen
	learned             map[pimento.ProcessID]pimento.Process  // that voters know and a copy of the store may lack
	storeBehind         bool                                   // the stored assignment is older than the one known here
	writtenVersion      uint64                                 // highest version of an assignment in a write of this process
	handedEpoch         uint64                                 // epoch of the leader that handed the assignment over in this campaign; zero: it was read
	refusedEpoch        uint64                                 // of the latest term that names this process without its knowledge
	doubtfulSince       time.Time                              // since when the stored assignment may not be the newest
	joinAt              time.Time                              // when to send the next Join
	confirmersChangedAt time.Time
	balancedAt          time.Time // when the plan last considered balance
	term                *term     // nil unless this process is the leader
}

// term is the state of a term that this process leads.
type term struct {
	ctx     context.Context
	cancel  context.CancelFunc
	beganAt time.Time

	members    map[pimento.ProcessID]*member
	upstreams  registry
	loads      loads
	crashes    quarantiner.Book                 // that members have reported
	capacities map[pimento.UpstreamName]float64 // requests per second
	limits     limiter.Book
	credits    *allocator.Allocator // nil: no customer has a quota, or this process has no authority
	creditsOf  *pimento.Manifest    // that credits was made from
	tolerance  allocator.Tolerance  // in credits
	quotasAt   time.Time            // when Quotas is to change next
	// dispatchersOf is the assignment whose dispatchers credits knows.
	dispatchersOf *pimento.Assignment
	pauses        pauses
	versions      messenger.Versions
	owners        []messenger.Owner
	// ownersChangedAt are the versions at which each of the owners last changed.
	ownersChangedAt []uint64
	nextOwners      []messenger.Owner // scratch space
	ownerChanges    changes[messenger.OwnerList]
	// upstreamChanges are those of one push, since they contain the time left.
	upstreamChanges changes[messenger.UpstreamList]
	wholes          statePacer
	rosters         statePacer
	roster          *messenger.Roster
	rosterOf        *pimento.Assignment // that the roster was made from
	spread          spread
	servers         map[pimento.UpstreamName]pimento.Server // last known
	queues          map[pimento.UpstreamName]*queue
	granting        int                                  // in all queues
	regained        map[pimento.ServiceName]bool         // whose keys no earlier leader can have granted
	lost            map[pimento.UpstreamName]pimento.Run // lost runs, until a probe reaches them
	probing         map[pimento.UpstreamName]bool

	reportAt        time.Time // when to add this process's own report next
	lastAuthorityAt time.Time
	fencedAt        time.Time // when an upstream last showed the fence of another leader
	copyEra         uint64    // last era of the store in which upstreams showed that the assignment is a copy
	copyAt          time.Time // when the assignment was last taken for a copy, or the term began

	listBackoff timekeeper.Backoff

	listAt           time.Time // when to read the upstreams next
	listing          bool
	verifyAt         time.Time
	planAt           time.Time
	movesAt          time.Time // plans move no keys before
	repairAt         time.Time // when to write to a restored store next
	writing          bool      // or reading what is stored, to write
	moves            []string  // of the current plan, for the log
	readProcessesAt  time.Time
	readingProcesses bool
	formerGoneSince  time.Time // since when the assignment has former holders to clear
}

// Run leads, follows or campaigns until ctx ends. It may be called again after it has panicked:
// the term that is known goes on to count, and what was under way is dropped.
func (l *Leader) Run(ctx context.Context) error {
	if l.elector == nil {
		l.elector = elector.New(l.Self.ID, l.ElectorTiming)
	}
	l.elector.Strength = l.strength
	l.elector.Resign()
	l.campaigning = false
	l.campaignBackoff = timekeeper.Backoff{Initial: campaignPause, Max: maxCampaignBackoff}
	l.registered = make(map[pimento.HostName]registeredProcess)
	return l.run(ctx)
}

// Init prepares the Leader for messages. Call it before Run.
func (l *Leader) Init() {
	l.inbox = make(chan func(), inboxSize)
	l.stampID = rand.Uint64()
}

// BeginShutdown announces that this process is shutting down: it campaigns no
// more and gets no pools to dispatch.
func (l *Leader) BeginShutdown() { l.leaving.Store(true) }

// StoreReachable reports whether the store answered this process within
// storeReachableWindow.
func (l *Leader) StoreReachable() bool {
	return timekeeper.Now().UnixNano()-l.storeAnsweredAt.Load() < int64(storeReachableWindow)
}

// storeReachableWindow is how long after its last answer the store counts as
// reachable.
const storeReachableWindow = 900 * time.Millisecond

// Term returns the latest term that this process knows.
func (l *Leader) Term() pimento.Term {
	if t := l.latestTerm.Load(); t != nil {
		return *t
	}
	return pimento.Term{}
}

// IsLeader reports whether this process is the leader.
func (l *Leader) IsLeader() bool { return l.leading.Load() }

// HasLeader reports whether this process leads, or has a leader that reports
// changes in the store to it.
func (l *Leader) HasLeader() bool { return l.IsLeader() || l.following.Load() }

// FollowsStore reports whether this process has another process as its leader whose
// heartbeats arrive and say that it reaches the store.
func (l *Leader) FollowsStore() bool { return l.leaderHasStore.Load() }

// LeaderLostStore reports whether this process has another process as its leader whose
// heartbeats arrive and say that it does not reach the store.
func (l *Leader) LeaderLostStore() bool { return l.leaderLostStore.Load() }

// recordStoreAnswer records that the store has just answered a short call.
func (l *Leader) recordStoreAnswer() { l.StoreAnswered(timekeeper.Now()) }

// StoreAnswered records that the store answered a call that began at a time. The end of a
// watch says nothing of the time since it began: the store may have turned all others away.
func (l *Leader) StoreAnswered(beganAt time.Time) {
	l.outages.answered(timekeeper.Now(), beganAt)
	at := beganAt.UnixNano()
	for known := l.storeAnsweredAt.Load(); at > known; known = l.storeAnsweredAt.Load() {
		if l.storeAnsweredAt.CompareAndSwap(known, at) {
			return
		}
	}
}

// postTerm is post for a result that is dropped once t has ended.
func (l *Leader) postTerm(t *term, do func()) {
	l.post(t.ctx, func() {
		if l.term == t {
			do()
		}
	})
}

// ended reports whether a member has definitely ended, which is so if a later process of
// its host is registered. The store may still show the one before it.
func (l *Leader) ended(id pimento.ProcessID) bool {
	if l.assignment == nil || id == l.Self.ID {
		return false
	}
	p, ok := l.process(id)
	if !ok {
		return false
	}
	current, ok := l.registered[p.Host]
	return ok && current.process.ID != id && current.process.Started.After(p.Started)
}

// updateRole advances the election to the present, and begins and ends this process's
// term. It is cheap enough to follow each message.
func (l *Leader) updateRole(ctx context.Context) {
	now := timekeeper.Now()
	l.elector.Tick(now, l.ended)
	l.authorityUntil.Store(unixNanos(l.elector.AuthorityUntil()))
	l.leading.Store(l.elector.IsLeader())
	l.following.Store(l.elector.HasLeader(now))
	l.leaderHasStore.Store(l.elector.LeaderHasStore(now))
	l.leaderLostStore.Store(l.elector.LeaderLostStore(now))
	if t := l.elector.Term(); l.Term().Epoch != t.Epoch {
		l.latestTerm.Store(&t)
	}
	if l.elector.IsLeader() && l.term == nil {
		l.beginTerm(ctx, now)
	}
	if !l.elector.IsLeader() && l.term != nil {
		l.endTerm()
	}
}

// step advances the state machines to the present and carries out what is due.
func (l *Leader) step(ctx context.Context) {
	l.updateRole(ctx)
	now := timekeeper.Now()
	if l.term != nil {
		l.stepLeader(now)
		return
	}
	if !l.mayCampaign(now) {
		l.leaderlessSince = time.Time{}
	} else if !l.leaving.Load() {
		l.campaign(ctx, now)
	}
	l.sendJoin(ctx, now)
}

func unixNanos(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixNano()
}

// HasAuthority reports whether this process may act as the leader now.
func (l *Leader) HasAuthority() bool { return timekeeper.Now().UnixNano() < l.authorityUntil.Load() }

// beginTerm sets up the state of a term that this process leads.
func (l *Leader) beginTerm(ctx context.Context, now time.Time) {
	t := &term{
		members: make(map[pimento.ProcessID]*member), capacities: make(map[pimento.UpstreamName]float64),
		servers: make(map[pimento.UpstreamName]pimento.Server), queues: make(map[pimento.UpstreamName]*queue),
		lost: make(map[pimento.UpstreamName]pimento.Run), probing: make(map[pimento.UpstreamName]bool), pauses: make(pauses),
		regained:    make(map[pimento.ServiceName]bool),
		listBackoff: timekeeper.Backoff{Initial: minListBackoff, Max: maxListBackoff},
	}
	t.ctx, t.cancel = context.WithCancel(ctx)
	t.beganAt, t.copyAt = now, now
	t.loads.init()
	l.seedTerm(now, t)
	l.term = t
	l.delayMoves(now)
	l.keeper = keeper.New(l.KeeperTiming)
	l.keeper.Adopt(now, l.assignment)
	l.updateMembers(now)
	l.Events.Emit(pimento.EventLeading, "Epoch", l.elector.Term().Epoch, "Revision", l.revision, "Confirmers", len(l.elector.Term().Confirmers))
	go l.watchOutDomains(t)
}

// endTerm drops the state of the term.
func (l *Leader) endTerm() {
	l.Events.Emit(pimento.EventLeadingEnded, "Epoch", l.elector.Term().Epoch, "Leader", l.elector.Term().Leader)
	l.term.cancel()
	l.term = nil
	l.keeper = nil
	l.ranges.Store(0)
	l.quotas.Store(nil)
}

// stepLeader carries out the leader's tasks that are due.
func (l *Leader) stepLeader(now time.Time) {
	t := l.term
	if l.HasAuthority() || t.lastAuthorityAt.IsZero() {
		t.lastAuthorityAt = now
	}
	l.updateCredits(now)
	l.sendHeartbeats(now)
	if !now.Before(t.reportAt) {
		t.reportAt = now.Add(l.ElectorTiming.HeartbeatInterval)
		l.Member.CreditsGranted(l.elector.Term().Epoch, l.creditsFor(now, l.Self.ID))
		report := l.Member.Report()
		l.logCrashes(l.Self.ID, t.applyReport(now, report))
		l.applyUses(now, l.Self.ID, report)
		t.applyNotices(now, l.Self.ID, report)
		t.pauses.prune(now)
	}
	if !t.listing && !now.Before(t.listAt) {
		l.readUpstreams(now)
	}
	if l.StoreReachable() { // readUpstreams, which continues, detects its return
		if !now.Before(t.verifyAt) {
			l.verifyTerm(now)
		}
		if !t.readingProcesses && !now.Before(t.readProcessesAt) {
			l.readProcesses(now)
		}
	}
	l.ranges.Store(int64(l.keeper.Len()))
	in := l.keeperInput()
	for _, c := range l.keeper.Step(now, in) {
		l.enqueueCall(c)
	}
	l.logRegained(now, in)
	l.startQueued()
	l.probeLostUpstreams()
	if !t.writing && !l.repairStore(now) && !now.Before(t.planAt) {
		t.planAt = now.Add(planInterval)
		l.plan(now, in)
	}
	l.updateOwners(now, in)
	l.push()
}

// keeperInput returns the input of the keeper's next step.
func (l *Leader) keeperInput() keeper.Input {
	settled, ok := l.elector.SettledAt()
	if l.assignment.Restored { // the store may have lost terms
		settled, ok = l.elector.UnknownSettledAt()
	}
	if !ok {
		settled = timekeeper.Now().Add(l.ElectorTiming.MaxWithoutStore)
	}
	return keeper.Input{
		Authority: l.elector.AuthorityUntil(), Settled: settled, Upstreams: l.mayHoldKeys,
		Ended:         l.term.upstreams.ended,
		AddressKnown:  func(r pimento.Run) bool { _, ok := l.term.serverOf(r); return ok },
		UpstreamKnown: func(name pimento.UpstreamName) bool { _, ok := l.term.servers[name]; return ok },
	}
}

// jitter returns a random duration below d.
func jitter(d time.Duration) time.Duration { return rand.N(d) }

// Members returns how many processes the newest assignment that this process has read names,
// zero if it has read none.
func (l *Leader) Members() int { return int(l.members.Load()) }

// Ranges returns how many ranges of keys this process grants, zero unless it leads.
func (l *Leader) Ranges() int { return int(l.ranges.Load()) }

// bounds returns the bounds in force.
func (l *Leader) bounds() pimento.Bounds {
	if l.Bounds == nil {
		return pimento.DefaultBounds()
	}
	return l.Bounds()
}

// manifest returns the manifest in force here, nil if none is known.
func (l *Leader) manifest() *pimento.Manifest {
	m, _ := l.Member.Manifest()
	return m
}
