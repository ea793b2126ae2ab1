package leader

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"pimentorelay.example/pimento"
	"pimentorelay.example/pimento/appointer"
	"pimentorelay.example/pimento/keeper"
	"pimentorelay.example/pimento/partitioner"
	"pimentorelay.example/pimento/timekeeper"
)

const (
	// planInterval is the time between two plans.
	planInterval = 120 * time.Millisecond
	// balanceInterval is the time between plans that may also move keys for
	// balance.
	balanceInterval = 500 * time.Millisecond
	// maxBalanceDelay is the delay of the leader's loop from which on no keys move for
	// balance.
	maxBalanceDelay = 200 * time.Millisecond
	// formerCleanupDelay is how long former holders that hold nothing any more may stay in
	// the assignment until a write is made for them alone. The next leader releases their
	// keys again before it grants them.
	formerCleanupDelay = 300 * time.Millisecond
	// minConfirmerChangeInterval is the least time between changes of the
	// confirmers.
	minConfirmerChangeInterval = time.Second
	// confirmerTimeout is how long a confirmer may be silent before it may be
	// replaced.
	confirmerTimeout = 2 * time.Second
	// coldCapacityShare is the part of a cold upstream's ColdRate that plans use.
	coldCapacityShare = 0.5
	// minLimitedCapacity is the least capacity, in requests a second, that plans
	// assume of an upstream that names a limit.
	minLimitedCapacity = 0.1
	// limitDoubling is the time in which the assumed capacity doubles while no answer
	// names the limit again. It begins at half of the limit.
	limitDoubling = 10 * time.Second
	// defaultSlotCapacity is the requests per second of a slot before the first
	// measurement.
	defaultSlotCapacity = 8
	// verifyInterval is the time between checks that the store still shows this
	// process's term.
	verifyInterval = 3 * time.Second
	// fencedVerifyInterval is the same once an upstream has seen the fence of another
	// leader.
	fencedVerifyInterval = 300 * time.Millisecond
)

// plan writes the next assignment if one is due.
func (l *Leader) plan(now time.Time, in keeper.Input) {
	t := l.term
	t.moves = nil
	next := l.assignment.Clone()
	isCopy := l.HasAuthority() && l.sawLostTerm(now)
	if isCopy {
		next.RestoreFromCopy()
	}
	changed := l.planConfirmers(now, &next) || isCopy
	if !changed && (t.upstreams.version == 0 || !l.HasAuthority() || l.manifest() == nil) {
		return
	}
	next.Members = l.assignmentMembers(&next, func(id pimento.ProcessID) bool { return l.isIdle(now, id) })
	changed = changed || !slices.EqualFunc(next.Members, l.assignment.Members, sameMember)
	next.Pools = appointer.PreferenceLists(next.Pools, l.serviceSizes(), next.Members)
	changed = changed || !slices.EqualFunc(next.Pools, l.assignment.Pools, samePool)
	if !isCopy && !now.Before(t.movesAt) && t.upstreams.version > 0 && l.HasAuthority() && l.manifest() != nil {
		changed = l.planTables(now, in, &next) || changed
	}
	changed = l.clearFormerHolders(now, &next) || changed
	if next.Restored && !isCopy && l.keeper.EarlierGrantsExpired(now, in) {
		next.Restored, changed = false, true
	}
	if !changed {
		return
	}
	t.writing = true
	moves := t.moves
	l.writeAssignment(t.ctx, next, l.revision, func(s storedAssignment, won bool) {
		t.writing = false
		l.adoptAssignment(timekeeper.Now(), s, won)
		if won {
			l.logMoves(s.revision, moves)
			t.verifyAt = timekeeper.Now().Add(verifyInterval) // the write has shown the term
		}
		if won && isCopy {
			l.beginCopy(t, s)
		}
		if !won {
			l.reportConflict(s)
		}
		if l.term == t && l.elector.IsLeader() {
			l.keeper.Adopt(timekeeper.Now(), l.assignment)
		}
	})
}

// reportConflict reports that a write met an assignment that it was not based on.
func (l *Leader) reportConflict(s storedAssignment) {
	if s.assignment != nil {
		l.Events.Emit(pimento.EventWriteConflict, "Revision", s.revision, "Leader", s.assignment.Term.Leader, "Epoch", s.assignment.Term.Epoch)
	}
}

// logMoves logs the moves of a plan that was written.
func (l *Leader) logMoves(revision pimento.Revision, moves []string) {
	if len(moves) == 0 {
		return
	}
	more := max(0, len(moves)-maxLoggedMoves)
	logged := strings.Join(moves[:len(moves)-more], "; ")
	l.Events.Emit(pimento.EventKeysMoved, "Epoch", l.elector.Term().Epoch, "Revision", revision, "Moves", logged, "More", more, "Ranges", l.assignment.Ranges())
}

// maxLoggedMoves bounds the moves in one log line.
const maxLoggedMoves = 20

func sameMember(a, b pimento.Member) bool { return a.ID == b.ID && a.Idle == b.Idle }

func samePool(a, b pimento.Pool) bool {
	return a.Service == b.Service && a.Index == b.Index && slices.Equal(a.PreferenceList, b.PreferenceList)
}

// isIdle reports whether a process gets no pools to dispatch.
func (l *Leader) isIdle(now time.Time, id pimento.ProcessID) bool {
	if id == l.Self.ID {
		return l.leaving.Load()
	}
	m, ok := l.term.members[id]
	return !ok || m.silent(now) || m.leaving
}

// planConfirmers replaces the confirmers if more or much stronger ones are
// available, or if the quorum is lost for good. It needs no authority: after the
// loss of the quorum, this is how the leader regains it.
func (l *Leader) planConfirmers(now time.Time, next *pimento.Assignment) bool {
	t := l.elector.Term()
	if now.Sub(l.confirmersChangedAt) < minConfirmerChangeInterval {
		return false
	}
	wanted := l.elector.NextTerm(l.eligible(l.liveMembers(now)), l.ended)
	present := 0
	for _, id := range t.Confirmers {
		m, ok := l.term.members[id]
		if id == l.Self.ID || ok && now.Sub(m.lastReplyAt) < confirmerTimeout {
			present++
		}
	}
	// Without authority for this long, the missing confirmers count as lost for
	// good, and the others continue without them.
	quorumLost := now.Sub(l.term.lastAuthorityAt) > quorumLossTimeout && len(wanted.Confirmers) < len(t.Confirmers)
	stronger := len(wanted.Confirmers) >= present && l.elector.IsStronger(wanted.Confirmers)
	if len(wanted.Confirmers) <= present && !quorumLost && !stronger {
		return false
	}
	l.confirmersChangedAt = now
	next.Term = wanted
	next.EnterEra(l.revision.Era, true)
	return true
}

// serviceSizes returns the services with the number of their upstreams.
func (l *Leader) serviceSizes() []appointer.ServiceSize {
	m := l.manifest()
	if m == nil {
		return nil
	}
	var out []appointer.ServiceSize
	for _, s := range m.Services {
		n := 0
		if l.term != nil {
			for _, u := range l.term.upstreams.known {
				if u.Service == s.Name {
					n++
				}
			}
		}
		out = append(out, appointer.ServiceSize{Service: s.Name, Upstreams: n})
	}
	return out
}

// planTables moves keys that need another holder and, every balanceInterval, some
// for balance.
func (l *Leader) planTables(now time.Time, in keeper.Input, next *pimento.Assignment) bool {
	changed := false
	balance := l.mayBalance(now)
	for _, s := range l.manifest().Services {
		if s.Sharing != pimento.SharingKeyed {
			continue
		}
		if next.Table(s.Name) == nil {
			next.Tables = append(next.Tables, pimento.Table{Service: s.Name, Holdings: []pimento.Holding{{KeyRange: pimento.AllKeys}}})
			changed = true
		}
		moves := partitioner.Plan(l.partitionerInput(now, in, s, next.Table(s.Name), balance))
		for _, m := range moves {
			applyMove(next, next.Table(s.Name), m)
			l.term.moves = append(l.term.moves, fmt.Sprintf("%s %s to %s (%s)", s.Name, m.KeyRange, m.Holder.Upstream, m.Reason))
		}
		changed = changed || len(moves) > 0
	}
	if balance {
		l.balancedAt = now
		changed = l.joinNeighbors(now, in, next) || changed
	}
	return changed
}

// mayBalance reports whether a plan may move keys whose holder can keep them. Each move
// can split a range, which makes the leader's work more, so a slow leader waits.
func (l *Leader) mayBalance(now time.Time) bool {
	return now.Sub(l.balancedAt) >= balanceInterval && l.Delay() < maxBalanceDelay
}

// partitionerInput returns the input for the plan of one service.
func (l *Leader) partitionerInput(now time.Time, in keeper.Input, s pimento.Service, table *pimento.Table, balance bool) partitioner.Input {
	t := l.term
	out := partitioner.Input{Balance: balance}
	orphans := false
	states := make(map[pimento.Key]keeper.State)
	lost := make(map[pimento.UpstreamName]bool)
	for _, x := range l.keeper.States(now, in) {
		if x.Service == s.Name {
			states[x.From] = x
			lost[x.Holder.Upstream] = lost[x.Holder.Upstream] || x.Lost && !in.Ended(x.Holder)
		}
	}
	for name := range t.lost {
		lost[name] = true
	}
	likelyCutOff := mostUnreachable(lost)
	for _, h := range table.Holdings {
		x, known := states[h.From]
		u, listed := t.upstreams.known[h.Holder.Upstream]
		usable := listed && t.upstreams.usable(u) && u.Started.Equal(h.Holder.Started)
		g := partitioner.Holding{KeyRange: h.KeyRange, Holder: h.Holder}
		g.Orphan = h.Holder.IsZero() || !usable || known && (x.Lost || x.Fenced)
		g.Movable = !known || x.Freed
		if likelyCutOff && known && x.Lost && !in.Ended(h.Holder) {
			g.Movable = g.Movable && now.After(x.LapsesAt)
		}
		if !g.Orphan && known && !x.Ready {
			g.Movable = false
		}
		orphans = orphans || g.Orphan && g.Movable
		out.Holdings = append(out.Holdings, g)
	}
	if balance || orphans { // otherwise nothing moves
		out.Loads = t.loads.requestRates(now, s.Name)
	}
	for _, u := range t.upstreams.list() {
		if u.Service == s.Name && t.upstreams.usable(u) && !lost[u.Name] {
			out.Upstreams = append(out.Upstreams, partitioner.Upstream{
				Run: pimento.Run{Upstream: u.Name, Started: u.Started}, Capacity: l.capacity(now, s, u),
			})
		}
	}
	return out
}

// mostUnreachable reports whether most upstreams that hold keys do not answer,
// which suggests that this process is cut off rather than that they are down.
func mostUnreachable(lost map[pimento.UpstreamName]bool) bool {
	n := 0
	for _, x := range lost {
		if x {
			n++
		}
	}
	return n >= 3 && 2*n > len(lost)
}

// capacity returns the requests per second that an upstream can handle now.
func (l *Leader) capacity(now time.Time, s pimento.Service, u pimento.Server) float64 {
	c, ok := l.term.capacities[u.Name]
	if !ok {
		c = defaultSlotCapacity * float64(u.Slots)
	}
	if limit, limited := l.term.limits.Rate(now, u.Name); limited {
		c = min(c, limitedCapacity(limit, l.term.limits.Age(now, u.Name)))
	}
	if now.Before(u.WarmAt) && s.ColdRate > 0 {
		c = min(c, s.ColdRate*coldCapacityShare)
	}
	return c * l.term.pauses.usableShare(now, pimento.Run{Upstream: u.Name, Started: u.Started}, len(l.term.members)+1)
}

// limitedCapacity returns the capacity of an upstream that last named a limit some
// time ago. It doubles with every limitDoubling: an upstream that has lost all keys
// with load would never say that its limit has ended.
func limitedCapacity(limit pimento.RateLimit, ago time.Duration) float64 {
	return max(float64(limit), minLimitedCapacity) * math.Exp2(ago.Seconds()/limitDoubling.Seconds()-1)
}

// applyMove assigns a range to another holder, under a new fence for each holding
// that overlaps it.
func applyMove(a *pimento.Assignment, table *pimento.Table, m partitioner.Move) {
	var out []pimento.Holding
	for _, h := range table.Holdings {
		if !h.Overlaps(m.KeyRange) {
			out = append(out, h)
			continue
		}
		if h.From < m.From {
			left := h
			left.To = m.From - 1
			out = append(out, left)
		}
		moved := pimento.Holding{
			KeyRange: pimento.KeyRange{From: max(h.From, m.From), To: min(h.To, m.To)},
			Fence:    a.NextFence, Holder: m.Holder,
		}
		a.NextFence++
		moved.Former = h.Holder
		out = append(out, moved)
		if h.To > m.To {
			right := h
			right.From = m.To + 1
			out = append(out, right)
		}
	}
	table.Holdings = out
}

// clearFormerHolders clears the former holders that cannot hold keys any more.
// It reports whether a write is due for that alone.
func (l *Leader) clearFormerHolders(now time.Time, next *pimento.Assignment) bool {
	t := l.term
	found := false
	for i := range next.Tables {
		table := &next.Tables[i]
		for j := range table.Holdings {
			h := &table.Holdings[j]
			if !h.Former.IsZero() && l.keeper.FormerCleared(table.Service, *h) {
				h.Former = pimento.Run{}
				found = true
			}
		}
	}
	if !found {
		t.formerGoneSince = time.Time{}
		return false
	}
	if t.formerGoneSince.IsZero() {
		t.formerGoneSince = now
	}
	return now.Sub(t.formerGoneSince) >= formerCleanupDelay
}

// verifyTerm checks whether the store still shows this process's term.
func (l *Leader) verifyTerm(now time.Time) {
	t := l.term
	t.verifyAt = now.Add(verifyInterval)
	go func() {
		sentAt := timekeeper.Now()
		s, err := l.readAssignment(t.ctx)
		if err != nil {
			return // the next check follows soon
		}
		l.postTerm(t, func() {
			if s.assignment != nil && s.assignment.WrittenIn() >= s.revision.Era {
				l.elector.RecordVerified(sentAt, s.assignment.Term.Epoch)
			}
			newTerm := s.assignment != nil && s.assignment.Term.Epoch > l.elector.Term().Epoch
			if newTerm || !t.writing {
				l.adoptAssignment(timekeeper.Now(), s, false)
			}
		})
	}()
}
