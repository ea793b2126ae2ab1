package claimer

import (
	"time"

	"pimentorelay.example/pimento"
)

// phase is how far a right has come.
type phase string

const (
	phaseWaiting   phase = "Waiting"
	phaseGathering phase = "Gathering"
	phaseHeld      phase = "Held"
	phaseDraining  phase = "Draining"
)

// right is one right that this process wants, uses or gives back.
type right struct {
	phase    phase
	wanted   bool
	epoch    uint64 // in which it was first wanted
	since    time.Time
	upstream pimento.UpstreamName // whose dispatchers stand in line
	rank     int                  // place of this process in that line
	before   []pimento.ProcessID  // dispatchers before this one
	lost     []pimento.UpstreamName
	free     map[pimento.ProcessID]bool
	round    uint64 // of the first question that gathers records
	gathered map[pimento.ProcessID]bool
}

// restart forgets what others have answered.
func (r *right) restart(epoch uint64) {
	r.epoch = epoch
	r.free = make(map[pimento.ProcessID]bool)
	if r.phase == phaseGathering {
		r.phase = phaseWaiting
	}
}

// pending reports whether the right is wanted but not yet used.
func (r *right) pending() bool { return r.phase == phaseWaiting || r.phase == phaseGathering }

func (r *right) inUse() bool { return r.phase == phaseHeld || r.phase == phaseDraining }
