package scheduler

import (
	"time"

	"pimentorelay.example/pimento"
)

// ResultKind says how a request with a permit ended.
type ResultKind string

// The kinds of results.
const (
	ResultAnswered    ResultKind = "Answered"    // by the upstream, whole
	ResultFailed      ResultKind = "Failed"      // the upstream answered that it failed
	ResultRefused     ResultKind = "Refused"     // not run: the upstream is full or leaving
	ResultMisdirected ResultKind = "Misdirected" // not run: it is not the holder
	ResultUnreached   ResultKind = "Unreached"   // not run: no connection
	ResultBroken      ResultKind = "Broken"      // the connection broke, or the answer was no answer
	ResultTimeout     ResultKind = "Timeout"     // no answer in time
	ResultCanceled    ResultKind = "Canceled"    // the caller left, or nothing is known
)

// Result is the end of a request with a permit.
type Result struct {
	Kind ResultKind
	Took time.Duration // from sending it to the head of the answer
	Load pimento.LoadReport
	// HasLoad means that the answer bore a load report.
	HasLoad bool
	ColdFor time.Duration // that the upstream told; zero: not told
}

const (
	// startWork is the time that a request is expected to take before any was
	// measured.
	startWork = 100 * time.Millisecond
	// workShare, speedShare and usualShare are the weights of a new
	// measurement: of a route's work, and of an upstream's speed over a few
	// requests and over many.
	workShare  = 0.05
	speedShare = 0.15
	usualShare = 0.02
	// minCount is how many requests of a route must have been measured before
	// they tell something of an upstream's speed.
	minCount = 5
	// maxFactor bounds how slow an upstream is believed to be.
	maxFactor = 40
	// minFactor bounds how fast an upstream is believed to be.
	minFactor = 0.1
)

// work is how long the requests of a route take, over all upstreams as they are
// used.
type work struct {
	mean   time.Duration
	spread time.Duration // mean distance from the mean
	count  int
}

func (w *work) add(d time.Duration) {
	w.count++
	share := max(workShare, 1/float64(w.count))
	w.spread += time.Duration(share * float64((d-w.mean).Abs()-w.spread))
	w.mean += time.Duration(share * float64(d-w.mean))
}

// high returns a time that most requests stay below.
func (w *work) high() time.Duration { return w.mean + time.Duration(highSpread*float64(w.spread)) }

// highSpread is how many mean distances from the mean most requests stay
// below.
const highSpread = 1.0

// speed is how slow an upstream is, 1 as usual.
type speed struct {
	factor float64
	count  int
}

func (s *speed) value() float64 {
	if s.count == 0 {
		return 1
	}
	return s.factor
}

// add takes in a measurement with its share of the mean, less where its weight
// is below 1.
func (s *speed) add(f, share, weight float64) {
	f = min(max(f, minFactor), maxFactor)
	s.count++
	share = weight * max(share, 1/float64(s.count+1))
	s.factor = s.value()*(1-share) + share*f
}

// workOf returns what the requests of a route take at usual speed. For a route
// that was not measured it is what all requests take, as they come.
func (p *Pool) workOf(r pimento.RouteName) time.Duration {
	if w, ok := p.works[r]; ok {
		return w.mean
	}
	if p.work.count == 0 {
		return startWork
	}
	return p.work.mean
}

// highOf returns a time that most requests of a route stay below, relative to
// their mean.
func (p *Pool) highOf(r pimento.RouteName) float64 {
	w, ok := p.works[r]
	if !ok {
		w = &p.work
	}
	if w.mean <= 0 {
		return 1
	}
	return float64(w.high()) / float64(w.mean)
}

// expected returns how long a request would take at an upstream. Work that
// already takes longer than usual shows a slow upstream before its answers do.
func (p *Pool) expected(now time.Time, t *Ticket, u *upstream) time.Duration {
	f := u.speed.value() * u.noise.value(now)
	for _, r := range u.running {
		usual := p.workOf(r.ticket.Route)
		if age := now.Sub(r.since); usual > 0 && age > usual*agedFactor {
			f = max(f, float64(age)/float64(usual)/agedFactor)
		}
	}
	if now.Before(u.cold.until) {
		f *= coldSlowness
	}
	return time.Duration(float64(p.workOf(t.Route)) * min(f, maxFactor))
}

// agedFactor is how many times the usual time a request may take before it
// says something of its upstream.
const agedFactor = 3

// learn takes in what the end of a request says of its upstream.
func (p *Pool) learn(now time.Time, r *running, result Result) {
	u := r.upstream
	u.health.record(now, result.Kind)
	noise := r.noise
	if result.HasLoad && result.Load.Slowness > 0 {
		u.noise.take(now, p.relative(result.Load.Slowness))
		noise = (r.noise + u.noise.slowness) / 2
	}
	if result.ColdFor > 0 {
		u.cold.until = later(u.cold.until, now.Add(result.ColdFor))
	}
	if result.Kind != ResultAnswered || result.Took <= 0 {
		return
	}
	w, ok := p.works[r.ticket.Route]
	if !ok {
		w = &work{}
		p.works[r.ticket.Route] = w
	}
	if w.count >= minCount && !now.Before(u.cold.until) {
		f := float64(result.Took) / float64(w.mean) / noise
		weight := min(1, float64(w.mean)/float64(p.work.mean))
		u.speed.add(f, speedShare, weight)
		u.usual.add(f, usualShare, weight)
	}
	// Not divided by the upstream's factor: work and factors together would
	// have no scale, and drift.
	w.add(result.Took)
	p.work.add(result.Took)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Capacities returns how many requests a second each usable upstream bears, of
// the mix that comes; nothing before a few requests were measured.
func (p *Pool) Capacities(now time.Time) map[pimento.UpstreamName]float64 {
	if p.work.count < minCount {
		return nil
	}
	out := make(map[pimento.UpstreamName]float64, len(p.upstreams))
	for name, u := range p.upstreams {
		if u.Usable {
			out[name] = p.throughput(now, &Ticket{}, u)
		}
	}
	return out
}

// Reports describes the upstreams, for operators.
func (p *Pool) Reports(now time.Time) []pimento.UpstreamReport {
	var out []pimento.UpstreamReport
	for _, u := range p.upstreams {
		out = append(out, pimento.UpstreamReport{
			Upstream: u.Name, Service: u.Service, Usable: u.Usable, Cold: now.Before(u.cold.until),
			Slow: u.speed.value(), Failing: u.health.failures, Running: len(u.running), Slots: u.Slots,
			Bears: p.throughput(now, &Ticket{}, u),
		})
	}
	return out
}
