package admitter

import (
	"time"

	"pimentorelay.example/pimento"
	"pimentorelay.example/pimento/quarantiner"
	"pimentorelay.example/pimento/scheduler"
)

// goneKept is how long a run that is not registered any more is remembered. A dispatcher
// that has not heard of it may issue permits for it meanwhile.
const goneKept = 10 * time.Minute

// goneRun is a run that was registered here and is not any more.
type goneRun struct {
	service   pimento.ServiceName
	keptUntil time.Time
}

// observeGone notes which of the upstreams known before are not registered any more. A run
// that this process has never known is none of them: the state here may be older than the
// dispatcher's. The caller holds mu.
func (a *Admitter) observeGone(now time.Time, before []scheduler.Upstream) {
	for _, u := range before {
		a.gone[quarantiner.RunOf(u.Server)] = goneRun{service: u.Service, keptUntil: now.Add(goneKept)}
	}
	for _, u := range a.state.Upstreams {
		delete(a.gone, quarantiner.RunOf(u.Server))
	}
	for run, g := range a.gone {
		if !now.Before(g.keptUntil) {
			delete(a.gone, run)
		}
	}
}

// isGone reports whether a run was registered and is not any more, as far as is known here.
// The caller holds mu.
func (a *Admitter) isGone(s pimento.Server) bool {
	_, gone := a.gone[quarantiner.RunOf(s)]
	return gone
}

// goneBars returns the bars of the runs of a service that are gone. The caller holds mu.
func (a *Admitter) goneBars(service pimento.ServiceName) []scheduler.Bar {
	var out []scheduler.Bar
	for run, g := range a.gone {
		if g.service == service {
			out = append(out, scheduler.Bar{Upstream: run.Upstream, Started: run.StartedAt()})
		}
	}
	return out
}
