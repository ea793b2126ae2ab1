package keeper

import (
	"time"

	"pimentorelay.example/pimento"
)

// maxRevocations bounds the concurrent revocations. A new leader owes one to each upstream,
// and its heartbeats must not wait for the calls.
const maxRevocations = 256

// revocation is the release of all keys of a service by one run of an upstream. Once it is
// confirmed, the run has no keys by grants of earlier leaders, known or not, and refuses
// those that are still under way.
type revocation struct {
	calling bool
	callAt  time.Time // time of the next call at the earliest
	done    bool
}

// revocations are those that a restored assignment requires.
type revocations struct {
	fence   uint64 // zero: none are required
	calling int
	runs    map[pimento.ServiceName]map[runKey]*revocation
	done    map[pimento.ServiceName]bool // services of which no upstream has keys by earlier grants
}

// adopt begins anew if an assignment has another fence for revocations.
func (v *revocations) adopt(a *pimento.Assignment) {
	fence := a.RevokeFence
	if !a.Restored {
		fence = 0
	}
	if fence == v.fence {
		return
	}
	*v = revocations{fence: fence, runs: make(map[pimento.ServiceName]map[runKey]*revocation), done: make(map[pimento.ServiceName]bool)}
}

// of returns the revocation of the keys of a service at a run.
func (v *revocations) of(service pimento.ServiceName, run pimento.Run) *revocation {
	if v.runs[service] == nil {
		v.runs[service] = make(map[runKey]*revocation)
	}
	r, ok := v.runs[service][keyOf(run)]
	if !ok {
		r = &revocation{}
		v.runs[service][keyOf(run)] = r
	}
	return r
}

// record records the result of a revocation.
func (v *revocations) record(now time.Time, c Call, ok bool, retry time.Duration) {
	if c.Grant.Fence != v.fence {
		return
	}
	r := v.of(c.Service, c.Run)
	r.calling, r.done, r.callAt = false, r.done || ok, now.Add(retry)
	v.calling--
}

// Revoked reports whether all upstreams of a service have released all of its keys under
// the fence for revocations of the present assignment.
func (m *Machine) Revoked(service pimento.ServiceName) bool { return m.revocations.done[service] }

// dueRevocations returns the revocations that are due, and notes the services that need no
// more of them.
func (m *Machine) dueRevocations(now time.Time, in Input) []Call {
	v := &m.revocations
	if v.fence == 0 || in.Upstreams == nil {
		return nil
	}
	var calls []Call
	var service pimento.ServiceName
	for _, r := range m.rows { // in order of service
		if r.service == service || v.done[r.service] {
			continue
		}
		service = r.service
		runs, known := in.Upstreams(service)
		if !known { // until then, those that have keys may go on with them
			continue
		}
		done := true
		for _, run := range runs {
			x := v.of(service, run)
			done = done && x.done
			if x.done || x.calling || now.Before(x.callAt) || v.calling >= maxRevocations {
				continue
			}
			x.calling = true
			v.calling++
			calls = append(calls, Call{
				Kind: CallRevoke, Service: service, Run: run,
				Grant: pimento.KeyGrant{Range: pimento.AllKeys, Fence: v.fence},
			})
		}
		v.done[service] = done
	}
	return calls
}
