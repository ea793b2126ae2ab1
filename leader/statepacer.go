package leader

import (
	"slices"
	"time"
)

const (
	// maxStates is the most states that are on their way at once.
	maxStates = 16
	// slowedState is how many times as long as the quickest one a state may take for more to
	// be sent at once. Where all take longer, they wait for each other on the leader's link,
	// and heartbeats behind them.
	slowedState = 1.6
	// slowState is the time that the quickest one to any host may take for others to be sent
	// beside it: then the leader's link is slow, and heartbeats would wait for as long.
	slowState = 150 * time.Millisecond
	// stateSlotTime is how long a state keeps others back at most, so that members that do
	// not answer do not hold up the rest.
	stateSlotTime = 300 * time.Millisecond
	// recentStates is how many sendings to hosts of one strength must all have been slowed
	// for fewer to be sent at once. A single host may be busy; all of them are not.
	recentStates = 6
	// otherSize is by how much the sizes of two states may differ for their times to be
	// compared.
	otherSize = 1.25
)

// statePacer spaces large states of one kind, such as those that hold all upstreams or
// owners. A new leader owes them to all members at once.
type statePacer struct {
	began []time.Time // of those on their way
	most  int         // that may be on their way at once
	times map[float64]*stateTimes
}

// stateTimes holds how long states of about one size took to hosts of one strength.
// Their links and processors differ from those of other hosts.
type stateTimes struct {
	size     int
	quickest time.Duration
	recent   []time.Duration
}

// sentState is the end of the sending of a state.
type sentState struct {
	beganAt  time.Time
	took     time.Duration
	taken    bool
	strength float64 // of the member's host
	size     int     // of the state, in entries
}

// mayBegin reports whether another state may be sent now.
func (p *statePacer) mayBegin(now time.Time) bool {
	p.began = slices.DeleteFunc(p.began, func(at time.Time) bool { return now.Sub(at) >= stateSlotTime })
	return len(p.began) < max(p.most, 1)
}

// begin records that a state is sent.
func (p *statePacer) begin(now time.Time) { p.began = append(p.began, now) }

// end records the end of a sending.
func (p *statePacer) end(s sentState) {
	if i := slices.Index(p.began, s.beganAt); i >= 0 {
		p.began = slices.Delete(p.began, i, i+1)
	}
	if !s.taken {
		return
	}
	t := p.timesOf(s)
	t.add(s.took)
	switch {
	case p.quickest() > slowState:
		p.most = 1
	case !t.isSlowed(s.took):
		p.most = min(max(p.most, 1)+1, maxStates)
	case len(t.recent) == recentStates && t.isSlowed(slices.Min(t.recent)):
		p.most = max(p.most/2, 1)
		t.recent = nil // those that began before count once
	}
}

// quickest returns the least time that a state took to any host.
func (p *statePacer) quickest() time.Duration {
	var least time.Duration
	for _, t := range p.times {
		if least == 0 || t.quickest < least {
			least = t.quickest
		}
	}
	return least
}

// timesOf returns the times to compare a sending with. They begin anew where the state has
// another size than before.
func (p *statePacer) timesOf(s sentState) *stateTimes {
	if p.times == nil {
		p.times = make(map[float64]*stateTimes)
	}
	t, ok := p.times[s.strength]
	if !ok || float64(s.size) > otherSize*float64(t.size) || float64(t.size) > otherSize*float64(s.size) {
		t = &stateTimes{size: s.size}
		p.times[s.strength] = t
	}
	return t
}

// add adds the time of a sending.
func (t *stateTimes) add(took time.Duration) {
	if t.quickest == 0 || took < t.quickest {
		t.quickest = took
	}
	t.recent = append(t.recent, took)
	if len(t.recent) > recentStates {
		t.recent = t.recent[1:]
	}
}

// isSlowed reports whether a sending took much longer than the quickest one.
func (t *stateTimes) isSlowed(took time.Duration) bool {
	return float64(took) > slowedState*float64(t.quickest)
}
