package claimer

import (
	"slices"
	"time"

	"pimentorelay.example/pimento"
)

// complete reports whether all records of a slice have been gathered that
// another process may have.
func (m *Machine) complete(now time.Time, r *right, authority Authority) bool {
	for id, listed := range m.known {
		if id == m.self || !listed || r.gathered[id] || authority.Lapsed(id) {
			continue
		}
		if now.Sub(r.since) < maxDrain {
			return false
		}
	}
	return true
}

// ask puts one question to every process that has not yet answered.
func (m *Machine) ask(now time.Time) []Effect {
	var effects []Effect
	for id, listed := range m.known {
		if id == m.self || !listed || now.Sub(m.askedAt[id]) < askInterval {
			continue
		}
		q := pimento.HandoverAsk{From: m.self, Epoch: m.plan.Epoch, Round: m.round + 1}
		for name, r := range m.upstreams {
			if r.phase == phaseWaiting && !r.free[id] {
				q.Upstreams = append(q.Upstreams, name)
			}
		}
		for slice, r := range m.slices {
			if r.phase == phaseWaiting && !r.free[id] {
				q.Slices = append(q.Slices, slice)
			}
			if r.phase == phaseGathering && !r.gathered[id] {
				q.Gather = append(q.Gather, slice)
			}
		}
		if len(q.Upstreams)+len(q.Slices)+len(q.Gather) > 0 {
			m.round++
			m.askedAt[id] = now
			effects = append(effects, Effect{Kind: EffectAsk, To: id, Ask: q})
		}
	}
	return effects
}

// Asked answers a handover question. Step must have run since the last Learn.
func (m *Machine) Asked(ask pimento.HandoverAsk) pimento.HandoverAnswer {
	answer := pimento.HandoverAnswer{From: m.self, Epoch: m.plan.Epoch}
	for _, name := range ask.Upstreams {
		if r, ok := m.upstreams[name]; ok && r.inUse() {
			answer.BusyUpstreams = append(answer.BusyUpstreams, name)
		}
	}
	for _, id := range ask.Slices {
		if r, ok := m.slices[id]; ok && r.inUse() {
			answer.BusySlices = append(answer.BusySlices, id)
		}
	}
	return answer
}

// Answered takes the answer to a question.
func (m *Machine) Answered(now time.Time, ask pimento.HandoverAsk, answer pimento.HandoverAnswer) {
	if answer.Epoch != m.plan.Epoch || ask.Epoch != m.plan.Epoch {
		return
	}
	if len(answer.BusyUpstreams)+len(answer.BusySlices) > 0 {
		m.busyAt[answer.From] = now
	}
	for _, name := range ask.Upstreams {
		if r, ok := m.upstreams[name]; ok && r.phase == phaseWaiting {
			r.free[answer.From] = !slices.Contains(answer.BusyUpstreams, name)
		}
	}
	for _, id := range ask.Slices {
		if r, ok := m.slices[id]; ok && r.phase == phaseWaiting {
			r.free[answer.From] = !slices.Contains(answer.BusySlices, id)
		}
	}
	for _, id := range ask.Gather {
		if r, ok := m.slices[id]; ok && r.phase == phaseGathering && ask.Round >= r.round {
			r.gathered[answer.From] = true
		}
	}
}

// DrainedUpstream says that an upstream whose use was stopped is used no more.
func (m *Machine) DrainedUpstream(name pimento.UpstreamName) {
	if r, ok := m.upstreams[name]; ok && r.phase == phaseDraining {
		delete(m.upstreams, name)
		m.stale = true
	}
}

// DrainedSlice says that no request of a slice whose use was stopped runs.
func (m *Machine) DrainedSlice(id pimento.SliceID) {
	if r, ok := m.slices[id]; ok && r.phase == phaseDraining {
		delete(m.slices, id)
		m.stale = true
	}
}
