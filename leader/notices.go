package leader

import (
	"time"

	"pimentorelay.example/pimento"
	"pimentorelay.example/pimento/messenger"
)

// minPausedShare is the least share of an upstream's capacity that plans assume while it
// wants nothing from some processes.
const minPausedShare = 0.05

// pauses are the ends of the pauses that upstreams have named to processes.
type pauses map[pimento.Run]map[pimento.ProcessID]time.Time

// applyNotices adds what a process reports of the answers that it got: that runs leave,
// which concerns all processes, and that they want nothing from this one.
func (t *term) applyNotices(now time.Time, from pimento.ProcessID, r messenger.Report) {
	for _, run := range r.Leaving {
		t.upstreams.markLeaving(run)
	}
	for _, p := range r.Paused {
		t.pauses.add(now, from, p)
	}
}

// add records the pause of a run for a process.
func (p pauses) add(now time.Time, from pimento.ProcessID, pause messenger.Pause) {
	run := normalizeRun(pause.Run)
	if p[run] == nil {
		p[run] = make(map[pimento.ProcessID]time.Time)
	}
	p[run][from] = now.Add(pause.Left)
}

// prune removes the pauses that have ended.
func (p pauses) prune(now time.Time) {
	for run, ends := range p {
		for id, end := range ends {
			if !now.Before(end) {
				delete(ends, id)
			}
		}
		if len(ends) == 0 {
			delete(p, run)
		}
	}
}

// usableShare returns the share of a number of processes from which a run takes requests.
func (p pauses) usableShare(now time.Time, run pimento.Run, processes int) float64 {
	paused := 0
	for _, end := range p[normalizeRun(run)] {
		if now.Before(end) {
			paused++
		}
	}
	return max(1-float64(paused)/float64(max(processes, 1)), minPausedShare)
}

// normalizeRun returns a run as the key of a map: processes pass starts on in
// milliseconds.
func normalizeRun(run pimento.Run) pimento.Run {
	run.Started = time.UnixMilli(run.Started.UnixMilli()).UTC()
	return run
}

// markLeaving makes a run count as leaving, whatever its entry in the store says, until
// its upstream starts anew.
func (r *registry) markLeaving(run pimento.Run) {
	if s, known := r.known[run.Upstream]; !known || normalizeRun(pimento.Run{Upstream: s.Name, Started: s.Started}) != normalizeRun(run) {
		return // it is reported again while it is known
	}
	if r.toldLeaving == nil {
		r.toldLeaving = make(map[pimento.UpstreamName]pimento.Run)
	}
	if old, ok := r.toldLeaving[run.Upstream]; ok && old == normalizeRun(run) {
		return
	}
	r.toldLeaving[run.Upstream] = normalizeRun(run)
	r.known[run.Upstream] = r.withToldState(r.known[run.Upstream])
	r.publish()
}

// withToldState returns an entry, as leaving if its run has said so in answers.
func (r *registry) withToldState(s pimento.Server) pimento.Server {
	told, ok := r.toldLeaving[s.Name]
	if ok && told == normalizeRun(pimento.Run{Upstream: s.Name, Started: s.Started}) {
		s.State = pimento.StateLeaving
	}
	return s
}

// forgetToldLeaving drops the runs that have ended or are not registered any more.
func (r *registry) forgetToldLeaving() {
	for name, told := range r.toldLeaving {
		s, known := r.known[name]
		if !known || normalizeRun(pimento.Run{Upstream: name, Started: s.Started}) != told {
			delete(r.toldLeaving, name)
		}
	}
}
