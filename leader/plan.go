package leader

import (
	"fmt"
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
	// planPause is the time between two looks at whether a change is due.
	planPause = 120 * time.Millisecond
	// balancePause is the time between two looks at whether keys should move from
	// holders that could keep them.
	balancePause = 500 * time.Millisecond
	// dirtyPause is how long former holders that hold nothing any more may
	// stay in the assignment.
	dirtyPause = 300 * time.Millisecond
	// termPause is the least time between two changes of the confirmers.
	termPause = time.Second
	// confirmerSilence is how long a confirmer may be silent before another
	// takes its place.
	confirmerSilence = 2 * time.Second
	// coldPart is the part of what a cold upstream bears that keys are given
	// to it for.
	coldPart = 0.5
	// startCapacity is the requests a second of a slot that is not measured.
	startCapacity = 8
	// verifyPause is the time between two looks at whether this process still
	// leads as far as the store knows.
	verifyPause = 3 * time.Second
)

// plan writes the next assignment if one is due.
func (l *Leader) plan(now time.Time, in keeper.Input) {
	t := l.lead
	t.moves = nil
	next := l.assignment.Clone()
	changed := l.planTerm(now, &next)
	if !changed && (t.upstreams.version == 0 || !l.HasAuthority() || l.manifest() == nil) {
		return
	}
	next.Members = l.membersFor(&next, func(id pimento.ProcessID) bool { return l.isIdle(now, id) })
	changed = changed || !slices.EqualFunc(next.Members, l.assignment.Members, sameMember)
	next.Pools = appointer.Lines(next.Pools, l.sizes(), next.Members)
	changed = changed || !slices.EqualFunc(next.Pools, l.assignment.Pools, samePool)
	if t.upstreams.version > 0 && l.HasAuthority() && l.manifest() != nil {
		changed = l.planTables(now, in, &next) || changed
	}
	changed = l.dropFormer(now, &next) || changed
	if !changed {
		return
	}
	t.writing = true
	moves := t.moves
	l.write(t.ctx, next, l.revision, func(s stored, won bool) {
		t.writing = false
		l.learn(timekeeper.Now(), s)
		if won {
			l.tellMoves(s.revision, moves)
		}
		if !won {
			l.Events.Emit(pimento.EventWriteConflict, "Revision", s.revision, "Leader", s.assignment.Term.Leader)
		}
		if l.lead == t && l.elector.Leads() {
			l.keeper.Adopt(timekeeper.Now(), l.assignment)
		}
	})
}

// tellMoves logs the moves of a plan that was written.
func (l *Leader) tellMoves(revision uint64, moves []string) {
	if len(moves) == 0 {
		return
	}
	more := max(0, len(moves)-maxMovesTold)
	told := strings.Join(moves[:len(moves)-more], "; ")
	l.Events.Emit(pimento.EventKeysMoved, "Epoch", l.elector.Term().Epoch, "Revision", revision, "Moves", told, "More", more)
}

// maxMovesTold is the most moves that one line tells.
const maxMovesTold = 20

func sameMember(a, b pimento.Member) bool { return a.ID == b.ID && a.Idle == b.Idle }

func samePool(a, b pimento.Pool) bool {
	return a.Service == b.Service && a.Index == b.Index && slices.Equal(a.Line, b.Line)
}

// isIdle reports whether a process gets no dispatching.
func (l *Leader) isIdle(now time.Time, id pimento.ProcessID) bool {
	if id == l.Self.ID {
		return l.leaving.Load()
	}
	m, ok := l.lead.members[id]
	return !ok || m.silent(now) || m.leaving
}

// planTerm replaces the confirmers if some have ended or others could help. It
// needs no authority: where too many confirmers have ended, this is how the
// leader gets it back.
func (l *Leader) planTerm(now time.Time, next *pimento.Assignment) bool {
	t := l.elector.Term()
	if now.Sub(l.termAt) < termPause {
		return false
	}
	wanted := l.elector.Next(l.live(now), l.ended)
	present := 0
	for _, id := range t.Confirmers {
		m, ok := l.lead.members[id]
		if id == l.Self.ID || ok && now.Sub(m.heardAt) < confirmerSilence {
			present++
		}
	}
	// Confirmers that are lost for good leave no majority: the others go on.
	stuck := now.Sub(l.lead.authorityAt) > votePatience && len(wanted.Confirmers) < len(t.Confirmers)
	stronger := len(wanted.Confirmers) >= present && l.elector.Stronger(wanted.Confirmers)
	if len(wanted.Confirmers) <= present && !stuck && !stronger {
		return false
	}
	l.termAt = now
	next.Term = wanted
	return true
}

// sizes returns the services with the number of their upstreams.
func (l *Leader) sizes() []appointer.Size {
	m := l.manifest()
	if m == nil {
		return nil
	}
	var out []appointer.Size
	for _, s := range m.Services {
		n := 0
		if l.lead != nil {
			for _, u := range l.lead.upstreams.known {
				if u.Service == s.Name {
					n++
				}
			}
		}
		out = append(out, appointer.Size{Service: s.Name, Upstreams: n})
	}
	return out
}

// planTables moves keys that need another holder, and some for balance.
func (l *Leader) planTables(now time.Time, in keeper.Input, next *pimento.Assignment) bool {
	changed := false
	balance := now.Sub(l.balancedAt) >= balancePause
	for _, s := range l.manifest().Services {
		if s.Sharing != pimento.SharingKeyed {
			continue
		}
		if next.Table(s.Name) == nil {
			next.Tables = append(next.Tables, pimento.Table{Service: s.Name, Holdings: []pimento.Holding{{KeyRange: pimento.AllKeys}}})
			changed = true
		}
		moves := partitioner.Plan(l.tableInput(now, in, s, next.Table(s.Name), balance))
		for _, m := range moves {
			l.move(in, next, next.Table(s.Name), m)
			l.lead.moves = append(l.lead.moves, fmt.Sprintf("%s %s to %s (%s)", s.Name, m.KeyRange, m.Holder.Upstream, m.Reason))
		}
		changed = changed || len(moves) > 0
	}
	if balance {
		l.balancedAt = now
	}
	return changed
}

// tableInput describes a service to the partitioner.
func (l *Leader) tableInput(now time.Time, in keeper.Input, s pimento.Service, table *pimento.Table, balance bool) partitioner.Input {
	t := l.lead
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
	for name := range t.down {
		lost[name] = true
	}
	blind := mostLost(lost)
	for _, h := range table.Holdings {
		x, known := states[h.From]
		u, there := t.upstreams.known[h.Holder.Upstream]
		usable := there && t.upstreams.usable(u) && u.Started.Equal(h.Holder.Started)
		g := partitioner.Holding{KeyRange: h.KeyRange, Holder: h.Holder}
		g.Orphan = h.Holder.IsZero() || !usable || known && (x.Lost || x.Fenced)
		g.Movable = !known || x.Freed
		if blind && known && x.Lost && !in.Ended(h.Holder) {
			g.Movable = g.Movable && now.After(x.LapsesAt)
		}
		if !g.Orphan && known && !x.Ready {
			g.Movable = false
		}
		orphans = orphans || g.Orphan && g.Movable
		out.Holdings = append(out.Holdings, g)
	}
	if balance || orphans { // nothing moves otherwise
		out.Loads = t.loads.of(now, s.Name)
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

// mostLost reports whether most upstreams that hold keys do not answer, which
// says more about this process than about them.
func mostLost(lost map[pimento.UpstreamName]bool) bool {
	n := 0
	for _, x := range lost {
		if x {
			n++
		}
	}
	return n >= 3 && 2*n > len(lost)
}

// capacity returns the requests a second that an upstream bears now.
func (l *Leader) capacity(now time.Time, s pimento.Service, u pimento.Server) float64 {
	c, ok := l.lead.speeds[u.Name]
	if !ok {
		c = startCapacity * float64(u.Slots)
	}
	if now.Before(u.WarmAt) && s.ColdRate > 0 {
		return min(c, s.ColdRate*coldPart)
	}
	return c
}

// move sends a range to another holder in a table.
func (l *Leader) move(in keeper.Input, a *pimento.Assignment, table *pimento.Table, m partitioner.Move) {
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
		if !h.Holder.IsZero() && !in.Ended(h.Holder) {
			moved.Former = h.Holder
		}
		out = append(out, moved)
		if h.To > m.To {
			right := h
			right.From = m.To + 1
			out = append(out, right)
		}
	}
	table.Holdings = out
}

// dropFormer removes former holders that cannot hold keys any more.
func (l *Leader) dropFormer(now time.Time, next *pimento.Assignment) bool {
	t := l.lead
	found := false
	for i := range next.Tables {
		table := &next.Tables[i]
		for j := range table.Holdings {
			h := &table.Holdings[j]
			if !h.Former.IsZero() && l.keeper.Settled(table.Service, *h) {
				h.Former = pimento.Run{}
				found = true
			}
		}
	}
	if !found {
		t.dirtyAt = time.Time{}
		return false
	}
	if t.dirtyAt.IsZero() {
		t.dirtyAt = now
	}
	return now.Sub(t.dirtyAt) >= dirtyPause
}

// verify looks whether this process still leads as far as the store knows.
func (l *Leader) verify(now time.Time) {
	t := l.lead
	t.verifyAt = now.Add(verifyPause)
	go func() {
		sentAt := timekeeper.Now()
		s, err := l.readAssignment(t.ctx)
		if err != nil || s.assignment == nil {
			return // the next look comes soon
		}
		l.postTerm(t, func() {
			l.elector.Verified(sentAt, s.assignment.Term.Epoch)
			if s.assignment.Term.Epoch > l.elector.Term().Epoch {
				l.learn(timekeeper.Now(), s)
			}
		})
	}()
}
