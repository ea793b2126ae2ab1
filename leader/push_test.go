package leader

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"pimentorelay.example/pimento"
	"pimentorelay.example/pimento/elector"
	"pimentorelay.example/pimento/messenger"
	"pimentorelay.example/pimento/recorder"
	"pimentorelay.example/pimento/timekeeper"
)

// delivery says what happens to a state that is sent to a member.
type delivery string

const (
	delivered delivery = "delivered"
	noReply   delivery = "no reply" // it is applied, and the reply is lost
	lost      delivery = "lost"
	late      delivery = "late" // it is applied only just before the next one
)

var errLostReply = errors.New("the reply was lost")

// fakePeers passes states to one receiver.
type fakePeers struct {
	to       *receiver
	next     delivery
	received []*messenger.State
	held     *messenger.State // a late one
}

func (p *fakePeers) Call(_ context.Context, _ pimento.Process, m *messenger.Message) (*messenger.Message, error) {
	if p.held != nil {
		p.to.apply(p.held)
		p.held = nil
	}
	switch p.next {
	case late:
		p.held = m.State
		return nil, errLostReply
	case lost:
		return nil, errLostReply
	}
	p.received = append(p.received, m.State)
	p.to.apply(m.State)
	if p.next == noReply {
		return nil, errLostReply
	}
	return &messenger.Message{State: &messenger.State{Versions: p.to.versions}}, nil
}

func (p *fakePeers) Send(context.Context, pimento.Process, *messenger.Message) error { return nil }
func (p *fakePeers) Forget(pimento.ProcessID)                                        {}

// receiver is the follower side of a member, reduced to what it knows.
type receiver struct {
	versions  messenger.Versions
	upstreams map[pimento.UpstreamName]pimento.State
	ready     map[pimento.KeyRange]bool
	also      func(*messenger.State) // is called with each state that is applied; nil: nothing is
}

// apply applies the parts of a state that are newer than those known, as a follower does.
func (r *receiver) apply(s *messenger.State) {
	mayApply := func(known, next uint64, whole bool) bool { return next > known && (whole || known > 0) }
	newer := *s
	s = &newer
	if u := s.Upstreams; u == nil || !mayApply(r.versions.Upstreams, s.Versions.Upstreams, u.Whole) {
		s.Upstreams, s.Versions.Upstreams = nil, r.versions.Upstreams
	}
	if o := s.Owners; o == nil || !mayApply(r.versions.Owners, s.Versions.Owners, o.Whole) {
		s.Owners, s.Versions.Owners = nil, r.versions.Owners
	}
	if r.also != nil {
		r.also(s)
	}
	if s.Upstreams != nil {
		if s.Upstreams.Whole {
			r.upstreams = make(map[pimento.UpstreamName]pimento.State)
		}
		for _, u := range s.Upstreams.Upstreams {
			r.upstreams[u.Name] = u.State
		}
	}
	if s.Owners != nil {
		if s.Owners.Whole {
			r.ready = make(map[pimento.KeyRange]bool)
		}
		for _, o := range s.Owners.Owners {
			r.ready[o.Range] = o.Ready
		}
	}
	manifest, roster := r.versions.Manifest, r.versions.Roster
	r.versions = s.Versions
	if s.Roster == nil {
		r.versions.Roster = roster
	}
	if s.Manifest == nil {
		r.versions.Manifest = manifest
	}
}

// pushTest is a leader with one member, driven step by step.
type pushTest struct {
	leader   *Leader
	member   *member
	peers    *fakePeers
	receiver *receiver
	manifest fixedMember
}

// fixedMember is the follower side of the leader's own process.
type fixedMember struct {
	version   uint64
	encoded   []byte
	read      ManifestRead   // its last one
	confirmed []ManifestRead // those that it was told of

	confirmedUpstreams []UpstreamsRead
}

func (m *fixedMember) Apply(*messenger.State)   {}
func (m *fixedMember) Report() messenger.Report { return messenger.Report{} }

func (m *fixedMember) CreditsGranted(uint64, *messenger.Credits) {}
func (m *fixedMember) Process(pimento.ProcessID) (pimento.Process, bool) {
	return pimento.Process{}, false
}
func (m *fixedMember) ManifestReadAt() time.Time        { return time.Time{} }
func (m *fixedMember) ManifestRead() ManifestRead       { return m.read }
func (m *fixedMember) ManifestConfirmed(r ManifestRead) { m.confirmed = append(m.confirmed, r) }
func (m *fixedMember) UpstreamsConfirmed(r UpstreamsRead) {
	m.confirmedUpstreams = append(m.confirmedUpstreams, r)
}
func (m *fixedMember) KnownUpstreams() KnownUpstreams { return KnownUpstreams{} }
func (m *fixedMember) Announced(messenger.Versions)   {}
func (m *fixedMember) Versions() messenger.Versions   { return messenger.Versions{Manifest: m.version} }
func (m *fixedMember) Manifest() (*pimento.Manifest, []byte) {
	return &pimento.Manifest{Version: m.version}, m.encoded
}

func newPushTest(t *testing.T) *pushTest {
	t.Helper()
	p := &pushTest{receiver: &receiver{}}
	p.peers = &fakePeers{to: p.receiver, next: delivered}
	a, b := proc("a", "a-1"), proc("b", "b-1")
	l := &Leader{Self: a, Peers: p.peers, Member: &p.manifest, Events: &recorder.Recorder{}, ElectorTiming: elector.DefaultTiming()}
	l.Init()
	l.elector = elector.New(a.ID, l.ElectorTiming)
	now := timekeeper.Now()
	l.elector.AdoptTerm(now, pimento.Term{Epoch: 1, Leader: a.ID, Confirmers: []pimento.ProcessID{a.ID}})
	l.assignment = &pimento.Assignment{
		Members: []pimento.Member{{Process: a}, {Process: b}},
		Pools:   []pimento.Pool{{Service: simService, PreferenceList: []pimento.ProcessID{a.ID, b.ID}}},
		Tables:  []pimento.Table{{Service: simService}},
	}
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	p.member = &member{process: b, lastReplyAt: now, hasReplied: true}
	l.term = &term{ctx: ctx, cancel: cancel, members: map[pimento.ProcessID]*member{b.ID: p.member}}
	p.leader = l
	return p
}

// set changes the state of the only upstream and of the only range of keys.
func (p *pushTest) set(state pimento.State, ready bool) {
	t := p.leader.term
	t.upstreams.known = map[pimento.UpstreamName]pimento.Server{"u1": {Name: "u1", State: state}}
	t.upstreams.readBeganAt, t.upstreams.outDomainsRead = timekeeper.Now(), true
	t.upstreams.publish()
	t.setOwners([]messenger.Owner{{Service: simService, Range: pimento.KeyRange{From: 0, To: 99}, Upstream: "u1", Ready: ready}})
}

// push sends what the member lacks and waits for the end of the call.
func (p *pushTest) push(d delivery) {
	p.peers.next = d
	p.leader.push()
	if !p.member.pushing {
		return
	}
	(<-p.leader.inbox)()
}

// heartbeat delivers the member's reply to a heartbeat.
func (p *pushTest) heartbeat() {
	now := timekeeper.Now()
	p.leader.handleHeartbeatReply(now, now, p.member, &messenger.HeartbeatReply{Epoch: 1, Confirmed: true, Versions: p.receiver.versions})
}

// TestChangesAfterALostReply guards against changes that are computed from a state
// which the member no longer has, because the reply to a later one was lost. What
// has changed back in between would never be sent.
func TestChangesAfterALostReply(t *testing.T) {
	for _, c := range []struct {
		name    string
		changes []delivery // of a leaving upstream whose keys are not ready, and of its return
		beats   bool       // a heartbeat is answered after each change
	}{
		{"all delivered", []delivery{delivered, delivered}, true},
		{"reply to the change lost", []delivery{noReply, delivered}, true},
		{"reply to the change lost, no heartbeat", []delivery{noReply, delivered}, false},
		{"change lost", []delivery{lost, delivered}, true},
		{"change lost, no heartbeat", []delivery{lost, delivered}, false},
		{"change applied late", []delivery{late, delivered}, true},
		{"reply to the return lost", []delivery{delivered, noReply}, true},
		{"both replies lost", []delivery{noReply, noReply}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			p := newPushTest(t)
			p.set(pimento.StateArriving, true)
			p.push(delivered)
			p.heartbeat()
			for i, d := range c.changes {
				p.set([]pimento.State{pimento.StateLeaving, pimento.StateArriving}[i], i == 1)
				p.push(d)
				if c.beats {
					p.heartbeat()
				}
			}
			p.heartbeat()
			p.push(delivered)
			is.Equal(p.receiver.versions.Upstreams, p.leader.term.versions.Upstreams)
			is.Equal(p.receiver.versions.Owners, p.leader.term.versions.Owners)
			is.Equal(p.receiver.upstreams["u1"], pimento.StateArriving)
			is.True(p.receiver.ready[pimento.KeyRange{From: 0, To: 99}])
		})
	}
}

// TestDispatchersGoBeforeWholeStates guards against a process that refuses all requests,
// since it knows no dispatcher while it waits for the whole lists of upstreams and owners.
func TestDispatchersGoBeforeWholeStates(t *testing.T) {
	is := is.New(t)
	p := newPushTest(t)
	p.set(pimento.StateArriving, true)
	p.leader.term.wholes.begin(timekeeper.Now()) // to another member
	p.push(delivered)
	is.Equal(len(p.peers.received), 1)
	first := p.peers.received[0]
	is.True(first.Roster != nil && len(first.Roster.Pools) == 1)
	is.True(!first.IsWhole())
	p.push(delivered)
	is.Equal(len(p.peers.received), 1) // nothing is left but the lists
	p.leader.term.wholes = statePacer{}
	p.push(delivered)
	is.Equal(len(p.peers.received), 2)
	is.True(p.peers.received[1].IsWhole() && p.peers.received[1].Roster == nil)
	is.Equal(p.receiver.upstreams["u1"], pimento.StateArriving)
}

// TestLargeManifestLeavesTheLeaderOnce guards against copies of a large manifest for
// all members that occupy the leader's link, and against a member that is left
// without it if it cannot read the store.
func TestLargeManifestLeavesTheLeaderOnce(t *testing.T) {
	const step = 50 * time.Millisecond
	for _, c := range []struct {
		name       string
		bytes      int
		reportedAt time.Duration // when the member reports the manifest by itself; zero: never
		progress   bool          // the member reports other new versions meanwhile
		sentWithin time.Duration // zero: not at all
		sentAfter  time.Duration
	}{
		{name: "small", bytes: 2000, sentWithin: 2 * step},
		{name: "large, read by the member", bytes: 100_000, reportedAt: 600 * time.Millisecond},
		{name: "large, not read by the member", bytes: 100_000, sentAfter: manifestReadTime, sentWithin: manifestReadTime + 2*step},
		{name: "large ones in succession", bytes: 100_000, progress: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			now := time.Unix(1_800_000_000, 0)
			restore := timekeeper.SetClock(func() time.Time { return now })
			defer restore()
			p := newPushTest(t)
			p.manifest = fixedMember{version: 1, encoded: make([]byte, c.bytes)}
			p.receiver.versions.Manifest = 1
			p.set(pimento.StateArriving, true)
			p.push(delivered)
			p.heartbeat()
			p.push(delivered)
			is.Equal(p.receiver.versions.Manifest, uint64(1))
			p.peers.received = nil
			p.manifest.version = 2
			start := now
			sent := time.Duration(0)
			for ; now.Sub(start) < 2*time.Second && sent == 0; now = now.Add(step) {
				p.push(delivered)
				if len(p.peers.received) > 0 {
					sent = now.Sub(start) + 1
				}
				if c.reportedAt > 0 && now.Sub(start) >= c.reportedAt {
					p.receiver.versions.Manifest = 2
				}
				if c.progress {
					p.receiver.versions.Manifest = p.manifest.version
					p.manifest.version++
				}
				p.heartbeat()
			}
			is.Equal(sent > 0, c.sentWithin > 0)
			is.True(sent <= c.sentWithin+1)
			is.True(sent >= c.sentAfter)
		})
	}
}

// TestOwnersGoSeldomToMembersWithoutKeys guards against changes of owners that are sent to
// every process as they come, 25 times a second, though few dispatch keys.
func TestOwnersGoSeldomToMembersWithoutKeys(t *testing.T) {
	const (
		step  = 40 * time.Millisecond
		moves = 4 * time.Second
	)
	for _, c := range []struct {
		name        string
		dispatches  bool
		pools       int
		least, most int
	}{
		{"a dispatcher", true, 2, 95, 101},
		{"a process that only sends", false, 2, 7, 9},
		{"a process that only sends, one pool", false, 1, 0, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			now := time.Unix(1_800_000_000, 0)
			restore := timekeeper.SetClock(func() time.Time { return now })
			defer restore()
			p := newPushTest(t)
			a := p.leader.assignment
			if !c.dispatches {
				a.Pools[0].PreferenceList = a.Pools[0].PreferenceList[:1]
			}
			for i := 1; i < c.pools; i++ {
				a.Pools = append(a.Pools, pimento.Pool{Service: simService, Index: i, PreferenceList: a.Pools[0].PreferenceList[:1]})
			}
			for start := now; now.Sub(start) < moves; now = now.Add(step) {
				p.set(pimento.StateArriving, now.Sub(start)/step%2 == 0)
				p.push(delivered)
				p.heartbeat()
			}
			got := 0
			for _, s := range p.peers.received {
				if s.Owners != nil {
					got++
				}
			}
			t.Logf("%d states with owners in %s", got, moves)
			is.True(got >= c.least && got <= c.most)
			now = now.Add(ownersInterval)
			p.push(delivered)
			is.Equal(p.receiver.versions.Owners == p.leader.term.versions.Owners, c.most > 0)
		})
	}
}
