package leader

import (
	"context"
	"fmt"
	"slices"
	"time"

	"pimentorelay.example/pimento"
	"pimentorelay.example/pimento/elector"
	"pimentorelay.example/pimento/messenger"
	"pimentorelay.example/pimento/quarantiner"
	"pimentorelay.example/pimento/timekeeper"
)

const (
	// heartbeatTimeout bounds the wait for a member's reply.
	heartbeatTimeout = 700 * time.Millisecond
	// silentAfter is how long a member may go without a reply before it counts as
	// silent and gets no pools to dispatch.
	silentAfter = 600 * time.Millisecond
	// shortHeartbeatInterval is the time between heartbeats to a member that lacks credits which
	// are there.
	shortHeartbeatInterval = 100 * time.Millisecond
	// silentHeartbeatInterval is the time between heartbeats to a silent member.
	silentHeartbeatInterval = 500 * time.Millisecond
)

// member is the leader's state of another process.
type member struct {
	process          pimento.Process
	lastReplyAt      time.Time // initially when it became a member
	hasReplied       bool      // in this term
	missedHeartbeats int       // in a row
	leaving          bool
	heartbeatAt      time.Time
	heartbeatPending bool
	versions         messenger.Versions // as last reported
	pushing          bool
	ownersSentAt     time.Time
	unconfirmed      bool // a state got no reply, and no heartbeat has since
	lacksManifest    lack
	stamp            *messenger.Stamp // last received
	stampedAt        time.Time        // when it arrived
}

// lack says since when a member lacks the latest manifest and has made no progress.
type lack struct {
	known uint64 // version that it has
	since time.Time
}

// silent reports whether a member has missed too many heartbeats or has not
// replied within silentAfter.
func (m *member) silent(now time.Time) bool {
	return now.Sub(m.lastReplyAt) > silentAfter || m.missedHeartbeats >= maxMissedHeartbeats
}

// maxMissedHeartbeats is how many unanswered heartbeats in a row make a member
// silent.
const maxMissedHeartbeats = 2

// updateMembers adds the processes of the assignment and the registered ones, and
// removes those that have ended.
func (l *Leader) updateMembers(now time.Time) {
	t := l.term
	for _, m := range l.assignment.Members {
		if _, ok := t.members[m.ID]; !ok && m.ID != l.Self.ID && !l.ended(m.ID) {
			t.members[m.ID] = &member{process: m.Process, lastReplyAt: now}
		}
	}
	for _, p := range l.registered {
		id := p.process.ID
		if _, ok := t.members[id]; !ok && id != l.Self.ID {
			t.members[id] = &member{process: p.process, lastReplyAt: now}
		}
	}
	for id := range t.members {
		if l.ended(id) {
			delete(t.members, id)
			if t.credits != nil {
				t.credits.Forget(id)
			}
			go l.Peers.Forget(id)
		}
	}
}

// sendHeartbeats sends the heartbeats that are due.
func (l *Leader) sendHeartbeats(now time.Time) {
	for _, m := range l.term.members {
		if m.heartbeatPending || now.Before(m.heartbeatAt) {
			continue
		}
		m.heartbeatPending = true
		m.heartbeatAt = now.Add(l.ElectorTiming.HeartbeatInterval)
		if m.silent(now) {
			m.heartbeatAt = now.Add(silentHeartbeatInterval)
		}
		l.sendHeartbeat(m)
	}
}

// sendHeartbeat sends one heartbeat and handles its reply.
func (l *Leader) sendHeartbeat(m *member) {
	t := l.term
	q := &messenger.Heartbeat{
		Term: l.elector.Term(), StoreLost: !l.StoreReachable(), Versions: t.versions, Era: l.storeEra.Load(),
		Confirmation: l.confirmation(m), Upstreams: l.upstreamsConfirmation(timekeeper.Now(), m),
		Credits: l.creditsFor(timekeeper.Now(), m.process.ID),
	}
	go func() {
		ctx, cancel := context.WithTimeout(t.ctx, heartbeatTimeout)
		defer cancel()
		sentAt := timekeeper.Now()
		reply, err := l.Peers.Call(ctx, m.process, &messenger.Message{Heartbeat: q})
		arrivedAt := timekeeper.Now()
		l.postTerm(t, func() {
			m.heartbeatPending = false
			if err != nil || reply.HeartbeatReply == nil {
				m.missedHeartbeats++
				return
			}
			m.noteStamp(arrivedAt, reply.HeartbeatReply.Stamp)
			l.handleHeartbeatReply(timekeeper.Now(), sentAt, m, reply.HeartbeatReply)
		})
	}()
}

// handleHeartbeatReply handles a member's reply to a heartbeat.
func (l *Leader) handleHeartbeatReply(now, sentAt time.Time, m *member, r *messenger.HeartbeatReply) {
	m.lastReplyAt, m.missedHeartbeats, m.leaving, m.hasReplied = now, 0, r.Leaving, true
	m.unconfirmed = false
	switch {
	case m.pushing: // the reply may be older than the state being sent
	case r.Versions.Epoch == l.elector.Term().Epoch:
		m.versions = r.Versions
	default:
		m.versions = messenger.Versions{Manifest: r.Versions.Manifest}
	}
	l.elector.HandleReply(sentAt, m.process.ID, r.Epoch, r.Confirmed)
	if l.term != nil {
		l.logCrashes(m.process.ID, l.term.applyReport(now, r.Report))
		l.term.applyNotices(now, m.process.ID, r.Report)
		l.applyUses(now, m.process.ID, r.Report)
		if l.term.credits != nil && l.term.credits.IsShort(m.process.ID) {
			m.heartbeatAt = earlier(m.heartbeatAt, sentAt.Add(shortHeartbeatInterval))
		}
	}
}

// logCrashes logs the crashes that a member has reported and that were news.
func (l *Leader) logCrashes(from pimento.ProcessID, news []quarantiner.Fact) {
	for _, f := range news {
		if f.Cleared {
			continue
		}
		l.Events.Emit(pimento.EventCrashCounted, "Fingerprint", fmt.Sprintf("%016x", uint64(f.Fingerprint)), "Evidence", quarantiner.EvidenceReport,
			"Upstream", f.Run.Upstream, "Started", f.Run.StartedAt(), "Crashes", l.term.crashes.Crashes(f.Fingerprint), "From", from)
	}
}

// applyReport adds a member's measurements, and returns the crashes that were news.
func (t *term) applyReport(now time.Time, r messenger.Report) []quarantiner.Fact {
	t.loads.add(now, r.Loads)
	for _, s := range r.Capacities {
		if old, ok := t.capacities[s.Upstream]; ok {
			s.Capacity = old + capacitySmoothing*(s.Capacity-old)
		}
		t.capacities[s.Upstream] = s.Capacity
	}
	t.limits.Merge(now, r.Limits)
	return t.crashes.Merge(now, r.CrashFacts)
}

// capacitySmoothing is the weight of a new report of an upstream's capacity. It
// keeps slow periods of less than a second from moving keys.
const capacitySmoothing = 0.25

// HandleHeartbeat replies to a leader's heartbeat.
func (l *Leader) HandleHeartbeat(from pimento.ProcessID, q *messenger.Heartbeat, reply func(*messenger.Message)) {
	l.post(context.Background(), func() {
		now := timekeeper.Now()
		l.ObserveEra(q.Era)
		l.handleConfirmation(q.Confirmation)
		confirmed := l.elector.HandleHeartbeat(now, elector.Heartbeat{From: from, Term: q.Term, StoreLost: q.StoreLost})
		if confirmed {
			l.heardLeader = true
			l.Member.Announced(q.Versions)
			l.handleUpstreamsConfirmation(q.Term.Epoch, q.Upstreams)
			l.Member.CreditsGranted(q.Term.Epoch, q.Credits)
		}
		answer := &messenger.HeartbeatReply{
			Epoch: l.elector.Term().Epoch, Confirmed: confirmed, Leaving: l.leaving.Load(),
			HasStore: l.StoreReachable(), Versions: l.Member.Versions(),
			Stamp: l.stamp(),
		}
		if confirmed {
			answer.Report = l.Member.Report()
		}
		reply(&messenger.Message{HeartbeatReply: answer})
	})
}

// HandleVote replies to a candidate's request for a vote.
func (l *Leader) HandleVote(v *messenger.Vote, reply func(*messenger.Message)) {
	l.post(context.Background(), func() {
		term := l.elector.Term()
		answer := &messenger.Vote{Epoch: term.Epoch, Granted: l.elector.GrantsVote(timekeeper.Now(), v.Epoch)}
		if v.Doubtful {
			answer.Term, answer.Processes, answer.Assignment = &term, l.processesOf(term), l.handOver()
		}
		reply(&messenger.Message{Vote: answer})
	})
}

// sendJoin announces this process to the leader of the latest term as long as
// [elector.Machine.HasLeader] is false.
func (l *Leader) sendJoin(ctx context.Context, now time.Time) {
	if l.elector.HasLeader(now) || l.assignment == nil || now.Before(l.joinAt) || l.leaving.Load() {
		return
	}
	to, ok := l.assignment.Member(l.elector.Term().Leader)
	if !ok || to.ID == l.Self.ID || l.ended(to.ID) {
		return
	}
	l.joinAt = now.Add(joinRetryInterval)
	go func() {
		ctx, cancel := context.WithTimeout(ctx, voteTimeout)
		defer cancel()
		// A failed Join is retried, until this process campaigns itself.
		if err := l.Peers.Send(ctx, to.Process, &messenger.Message{Join: &messenger.Join{Process: l.Self}}); err != nil {
			l.Events.Emit(pimento.EventJoinFailed, "Leader", to.ID, "Cause", err)
		}
	}()
}

// joinRetryInterval is the time between Joins to a leader that sends no
// heartbeats.
const joinRetryInterval = 300 * time.Millisecond

// HandleJoin adds a process that announces itself, if this process leads. A Join may
// arrive late, after a later process of its host has registered.
func (l *Leader) HandleJoin(p pimento.Process) {
	l.post(context.Background(), func() {
		known := l.registered[p.Host]
		if l.term == nil || p.ID == l.Self.ID || p.Started.Before(known.process.Started) {
			return
		}
		if p.ID != known.process.ID {
			l.registered[p.Host] = registeredProcess{process: p, revision: known.revision}
		}
		l.updateMembers(timekeeper.Now())
	})
}

// readProcesses reads the registered processes from the store.
func (l *Leader) readProcesses(now time.Time) {
	t := l.term
	t.readingProcesses = true
	go func() {
		list, err := l.listProcesses(t.ctx, pimento.FreshnessStale)
		l.postTerm(t, func() {
			t.readingProcesses = false
			t.readProcessesAt = now.Add(readProcessesInterval)
			if err == nil {
				l.mergeProcesses(list)
				l.updateMembers(timekeeper.Now())
			}
		})
	}()
}

// readProcessesInterval is the time between readings of the registered processes.
const readProcessesInterval = 2 * time.Second

// mergeProcesses merges a reading of the registered processes. A stale reading
// may still show the predecessor of a process that has sent a Join, so the
// joined process is kept until an entry of higher revision is read.
func (l *Leader) mergeProcesses(list []registeredProcess) {
	for _, p := range list {
		if p.isNewerThan(l.registered[p.process.Host]) {
			p.stored = true
			l.registered[p.process.Host] = p
		}
	}
}

// isNewerThan reports whether p registered after another process of its host. A store
// that was restored from a copy may show an earlier one at a later revision.
func (p registeredProcess) isNewerThan(o registeredProcess) bool {
	if !p.revision.After(o.revision) {
		return false
	}
	sameEra := p.revision.Era == o.revision.Era || o.revision.IsZero()
	return sameEra || p.process.ID == o.process.ID || p.process.Started.After(o.process.Started)
}

// liveMembers returns the members that reply and are not leaving, in order.
func (l *Leader) liveMembers(now time.Time) []pimento.ProcessID {
	var out []pimento.ProcessID
	for id, m := range l.term.members {
		if m.hasReplied && !m.silent(now) && !m.leaving {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}
