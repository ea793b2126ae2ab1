package leader

import (
	"context"
	"slices"
	"time"

	"pimentorelay.example/pimento"
	"pimentorelay.example/pimento/elector"
	"pimentorelay.example/pimento/messenger"
	"pimentorelay.example/pimento/quarantiner"
	"pimentorelay.example/pimento/timekeeper"
)

const (
	// askTimeout bounds a question to a member.
	askTimeout = 700 * time.Millisecond
	// idleAfter is how long a member may be silent before it gets no
	// dispatching.
	idleAfter = 600 * time.Millisecond
	// silentPause is the time between two questions to a silent member.
	silentPause = 500 * time.Millisecond
)

// member is what the leader knows of a process.
type member struct {
	process  pimento.Process
	heardAt  time.Time // or when it became a member
	answered bool      // it has answered in this term
	failures int       // questions without an answer, in a row
	leaving  bool
	askAt    time.Time
	asking   bool
	versions messenger.Versions // that it has
	told     snapshot
	pushing  bool
}

// silent reports whether a member has not answered for too long.
func (m *member) silent(now time.Time) bool {
	return now.Sub(m.heardAt) > idleAfter || m.failures >= maxFailures
}

// maxFailures is how many questions in a row may fail before a member counts
// as silent.
const maxFailures = 2

// adoptMembers makes a member of every process that the assignment or the
// store names.
func (l *Leader) adoptMembers(now time.Time) {
	t := l.lead
	for _, m := range l.assignment.Members {
		if _, ok := t.members[m.ID]; !ok && m.ID != l.Self.ID && !l.ended(m.ID) {
			t.members[m.ID] = &member{process: m.Process, heardAt: now}
		}
	}
	for _, p := range l.registered {
		id := p.process.ID
		if _, ok := t.members[id]; !ok && id != l.Self.ID {
			t.members[id] = &member{process: p.process, heardAt: now}
		}
	}
	for id := range t.members {
		if l.ended(id) {
			delete(t.members, id)
			go l.Peers.Forget(id)
		}
	}
}

// askMembers sends the questions that are due.
func (l *Leader) askMembers(now time.Time) {
	for _, m := range l.lead.members {
		if m.asking || now.Before(m.askAt) {
			continue
		}
		m.asking = true
		m.askAt = now.Add(l.Timing.Ask)
		if m.silent(now) {
			m.askAt = now.Add(silentPause)
		}
		l.ask(m)
	}
}

// ask sends one question.
func (l *Leader) ask(m *member) {
	t := l.lead
	q := &messenger.Ask{Term: l.elector.Term(), Blind: !l.HasStore(), Versions: t.versions}
	go func() {
		ctx, cancel := context.WithTimeout(t.ctx, askTimeout)
		defer cancel()
		sentAt := timekeeper.Now()
		reply, err := l.Peers.Call(ctx, m.process, &messenger.Message{Ask: q})
		l.postTerm(t, func() {
			m.asking = false
			if err != nil || reply.AskReply == nil {
				m.failures++
				return
			}
			l.hear(timekeeper.Now(), sentAt, m, reply.AskReply)
		})
	}()
}

// hear takes the answer of a member.
func (l *Leader) hear(now, sentAt time.Time, m *member, r *messenger.AskReply) {
	m.heardAt, m.failures, m.leaving, m.answered = now, 0, r.Leaving, true
	switch {
	case m.pushing: // what it says may be older than what is on its way
	case r.Versions.Epoch == l.elector.Term().Epoch:
		m.versions = r.Versions
	default:
		m.versions = messenger.Versions{Manifest: r.Versions.Manifest}
	}
	l.elector.Answer(sentAt, m.process.ID, r.Epoch, r.Confirmed)
	if l.lead != nil {
		l.lead.takeReport(now, r.Report)
	}
}

// takeReport adds what a member measured.
func (t *term) takeReport(now time.Time, r messenger.Report) {
	t.loads.add(now, r.Loads)
	for _, s := range r.Speeds {
		if old, ok := t.speeds[s.Upstream]; ok {
			s.Capacity = old + speedShare*(s.Capacity-old)
		}
		t.speeds[s.Upstream] = s.Capacity
	}
	for _, p := range r.Strikes {
		if t.crashers.Blame(now, p) {
			t.blocked = slices.DeleteFunc(t.blocked, func(p quarantiner.Print) bool { return !t.crashers.Blocked(now, p) })
			t.blocked = append(t.blocked, p)
			t.versions.Blocked++
		}
	}
}

// speedShare is the weight of a new report of what an upstream bears. Slow
// spells of less than a second are not worth moving keys.
const speedShare = 0.25

// HandleAsk answers the question of a leader.
func (l *Leader) HandleAsk(from pimento.ProcessID, q *messenger.Ask, reply func(*messenger.Message)) {
	l.inbox <- func() {
		now := timekeeper.Now()
		confirmed := l.elector.Ask(now, elector.Ask{From: from, Term: q.Term, Blind: q.Blind})
		answer := &messenger.AskReply{
			Epoch: l.elector.Term().Epoch, Confirmed: confirmed, Leaving: l.leaving.Load(),
			HasStore: l.HasStore(), Versions: l.Member.Versions(),
		}
		if confirmed {
			answer.Report = l.Member.Report()
		}
		reply(&messenger.Message{AskReply: answer})
	}
}

// HandleVote answers a candidate.
func (l *Leader) HandleVote(v *messenger.Vote, reply func(*messenger.Message)) {
	l.inbox <- func() {
		reply(&messenger.Message{Vote: &messenger.Vote{
			Epoch: l.elector.Term().Epoch, Lacks: l.elector.Vote(timekeeper.Now(), v.Epoch),
		}})
	}
}

// join tells the leader of this process as long as it does not ask.
func (l *Leader) join(ctx context.Context, now time.Time) {
	if l.elector.IsLed(now) || l.assignment == nil || now.Before(l.joinAt) || l.leaving.Load() {
		return
	}
	to, ok := l.assignment.Member(l.elector.Term().Leader)
	if !ok || to.ID == l.Self.ID || l.ended(to.ID) {
		return
	}
	l.joinAt = now.Add(joinRetry)
	go func() {
		ctx, cancel := context.WithTimeout(ctx, voteTimeout)
		defer cancel()
		// One that is not heard is tried again, or stands itself.
		if err := l.Peers.Send(ctx, to.Process, &messenger.Message{Join: &messenger.Join{Process: l.Self}}); err != nil {
			l.Events.Emit(pimento.EventJoinFailed, "Leader", to.ID, "Cause", err)
		}
	}()
}

// joinRetry is the time between two messages to a leader that does not ask
// this process.
const joinRetry = 300 * time.Millisecond

// HandleJoin takes a process that is not a member yet.
func (l *Leader) HandleJoin(p pimento.Process) {
	l.inbox <- func() {
		if l.lead == nil || p.ID == l.Self.ID {
			return
		}
		l.registered[p.Host] = registeredProcess{process: p, revision: l.registered[p.Host].revision}
		l.adoptMembers(timekeeper.Now())
	}
}

// readProcesses reads which processes have registered.
func (l *Leader) readProcesses(now time.Time) {
	t := l.lead
	t.reading = true
	go func() {
		list, err := l.listProcesses(t.ctx, pimento.FreshnessStale)
		l.postTerm(t, func() {
			t.reading = false
			t.joinAt = now.Add(joinPause)
			if err == nil {
				l.takeProcesses(list)
				l.adoptMembers(timekeeper.Now())
			}
		})
	}()
}

// joinPause is the time between two readings of the registered processes.
const joinPause = 2 * time.Second

// takeProcesses takes over a reading of the registered processes. A stale one
// may still show a process in whose place another has joined since: that one is
// kept until its own entry is seen.
func (l *Leader) takeProcesses(list []registeredProcess) {
	for _, p := range list {
		if p.revision > l.registered[p.process.Host].revision {
			l.registered[p.process.Host] = p
		}
	}
}

// live returns the members that answer, in order.
func (l *Leader) live(now time.Time) []pimento.ProcessID {
	var out []pimento.ProcessID
	for id, m := range l.lead.members {
		if m.answered && !m.silent(now) && !m.leaving {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}
