package leader

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"pimentorelay.example/pimento"
	"pimentorelay.example/pimento/messenger"
	"pimentorelay.example/pimento/timekeeper"
)

// TestConfirmation checks that a member takes no manifest for newer than it certainly
// was, whatever delays its stamp and the heartbeat, and accepts only what concerns it.
func TestConfirmation(t *testing.T) {
	const ms = time.Millisecond
	for _, c := range []struct {
		name string
		// The way of the stamp, the age of the leader's read when it arrives (negative:
		// it begins later), and the way of the heartbeat that follows.
		stampWay, readAge, heartbeatWay time.Duration
		formerProcess                   bool
		formerTerm                      bool
		formerEra                       bool
		// accepted with a date between that of the read and maxEarlier before it
		accepted   bool
		maxEarlier time.Duration
	}{
		{name: "read before the stamp", readAge: 400 * ms, accepted: true, maxEarlier: 10 * ms},
		{name: "read after the stamp", readAge: -300 * ms, accepted: true, maxEarlier: 10 * ms},
		{name: "the stamp is late", stampWay: 900 * ms, readAge: 100 * ms, accepted: true, maxEarlier: 910 * ms},
		{name: "the heartbeat is late", heartbeatWay: 3 * time.Second, readAge: 100 * ms, accepted: true, maxEarlier: 10 * ms},
		{name: "both are late", stampWay: 500 * ms, heartbeatWay: 5 * time.Second, readAge: -200 * ms, accepted: true, maxEarlier: 510 * ms},
		{name: "the process has been restarted", formerProcess: true},
		{name: "the read was in an earlier term", readAge: 10 * ms, formerTerm: true},
		{name: "the read was in an earlier era", formerEra: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				restore := timekeeper.SetClock(time.Now)
				defer restore()
				time.Sleep(time.Minute)
				sender, receiver := &fixedMember{}, &fixedMember{}
				now := time.Now()
				leader := &Leader{Member: sender, term: &term{beganAt: now.Add(-time.Second)}}
				follower := &Leader{Member: receiver, inbox: make(chan func(), 1), stampID: 7}
				leader.storeEra.Store(2)
				follower.storeEra.Store(2)

				stamp := follower.stamp()
				time.Sleep(c.stampWay)
				m := &member{}
				m.noteStamp(timekeeper.Now(), stamp)
				if c.readAge < 0 {
					time.Sleep(-c.readAge)
				}
				readAt := m.stampedAt.Add(-c.readAge)
				sender.read = ManifestRead{BeganAt: readAt, Version: 5, Era: 2}
				if c.formerTerm {
					leader.term.beganAt = readAt.Add(ms)
				}
				if c.formerEra {
					sender.read.Era = 1
				}
				if c.formerProcess {
					follower.stampID = 8
				}
				q := leader.confirmation(m)
				time.Sleep(c.heartbeatWay)
				follower.handleConfirmation(q)

				is.Equal(len(receiver.confirmed) == 1, c.accepted)
				if !c.accepted {
					return
				}
				got := receiver.confirmed[0]
				is.Equal(got.Version, uint64(5))
				if got.BeganAt.After(readAt) || readAt.Sub(got.BeganAt) > c.maxEarlier {
					t.Errorf("dated %s before the read, want 0 to %s", readAt.Sub(got.BeganAt), c.maxEarlier)
				}
			})
		})
	}
}

// TestSpreadIsReportedAfterARead guards against a leader that says that a version is in
// force at all members, while it has not read whether a newer one is stored.
func TestSpreadIsReportedAfterARead(t *testing.T) {
	for _, c := range []struct {
		name     string
		version  uint64 // that the last read showed
		age      time.Duration
		reported bool
	}{
		{"no read", 0, 0, false},
		{"a read showed it", 3, 100 * time.Millisecond, true},
		{"a read showed an older one", 2, 100 * time.Millisecond, false},
		{"the read was in an earlier term", 3, 2 * time.Second, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			p := newPushTest(t)
			now := timekeeper.Now()
			p.leader.term.beganAt = now.Add(-time.Second)
			p.leader.term.versions.Manifest, p.member.versions.Manifest = 3, 3
			if c.version > 0 {
				p.manifest.read = ManifestRead{BeganAt: now.Add(-c.age), Version: c.version}
			}
			p.leader.reportSpread(now)
			is.Equal(p.leader.term.spread.complete, c.reported)
		})
	}
}

// TestHeartbeatBearsAConfirmation checks that heartbeats and their replies carry stamps
// and what the leader's read says of them.
func TestHeartbeatBearsAConfirmation(t *testing.T) {
	is := is.New(t)
	p := newPushTest(t)
	is.True(p.leader.confirmation(p.member) == nil) // no stamp
	replies := make(chan *messenger.Message, 1)
	p.leader.HandleHeartbeat("x", &messenger.Heartbeat{Term: pimento.Term{}}, func(m *messenger.Message) { replies <- m })
	(<-p.leader.inbox)()
	stamp := (<-replies).HeartbeatReply.Stamp
	is.True(stamp != nil)
	is.Equal(stamp.Process, p.leader.stampID)
	p.member.noteStamp(timekeeper.Now(), stamp)
	is.True(p.leader.confirmation(p.member) == nil) // no read
	p.manifest.read = ManifestRead{BeganAt: timekeeper.Now(), Version: 9}
	is.Equal(p.leader.confirmation(p.member).Version, uint64(9))
	p.leader.HandleHeartbeat("x", &messenger.Heartbeat{Confirmation: p.leader.confirmation(p.member)}, func(*messenger.Message) {})
	(<-p.leader.inbox)()
	is.Equal(len(p.manifest.confirmed), 1)
}

// TestUpstreamsConfirmation checks what a leader says of its reads of the upstreams, and
// that a member dates them no later than they were.
func TestUpstreamsConfirmation(t *testing.T) {
	const ms = time.Millisecond
	for _, c := range []struct {
		name          string
		read          bool
		outAge        time.Duration // of what the leader knows of the failure domains
		noStamp       bool
		formerProcess bool
		accepted      bool
	}{
		{name: "read", read: true, outAge: 3 * time.Second, accepted: true},
		{name: "no read in this term", outAge: time.Second},
		{name: "the failure domains were not read of late", read: true, outAge: 4 * time.Second},
		{name: "the member has sent no stamp", read: true, noStamp: true},
		{name: "the process has been restarted", read: true, formerProcess: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				restore := timekeeper.SetClock(time.Now)
				defer restore()
				time.Sleep(time.Minute)
				receiver := &fixedMember{}
				leader := newPushTest(t).leader
				follower := &Leader{Member: receiver, stampID: 7}
				leader.term.upstreams = registry{}
				registry := &leader.term.upstreams
				m := &member{}
				if !c.noStamp {
					m.noteStamp(timekeeper.Now(), follower.stamp())
				}
				time.Sleep(100 * ms)
				now := timekeeper.Now()
				if c.read {
					registry.applyList(now, now.Add(-30*ms), []pimento.Server{entry("a", "10.0.0.1:1", now)})
					registry.setOut(now, 1, nil, nil)
				}
				registry.outReadAt = now.Add(-c.outAge)
				if c.formerProcess {
					follower.stampID = 8
				}
				q := leader.upstreamsConfirmation(now, m)
				is.Equal(q != nil, c.read && !c.noStamp && c.outAge < maxOutAge)
				follower.handleUpstreamsConfirmation(3, q)
				is.Equal(len(receiver.confirmedUpstreams) == 1, c.accepted)
				if !c.accepted {
					return
				}
				got := receiver.confirmedUpstreams[0]
				is.Equal(got.Epoch, uint64(3))
				is.Equal(got.Version, uint64(1))
				is.Equal(got.Era, uint64(1))
				if early := now.Add(-30 * ms).Sub(got.BeganAt); early < 0 || early > 10*ms {
					t.Errorf("dated %s before the read", early)
				}
			})
		})
	}
}
