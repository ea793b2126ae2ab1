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
	ResultMisdirected ResultKind = "Misdirected" // not run: the upstream does not own the key
	ResultUnreachable ResultKind = "Unreached"   // not run: no connection
	ResultBroken      ResultKind = "Broken"      // the connection broke, or the answer was invalid
	ResultTimeout     ResultKind = "Timeout"     // no answer in time
	ResultCanceled    ResultKind = "Canceled"    // the caller left, or the end is unknown
)

// Result is the end of a request with a permit.
type Result struct {
	Kind ResultKind
	Took time.Duration // from sending it to the head of the answer
	Load pimento.LoadReport
	// HasLoad means that the answer carried a load report.
	HasLoad bool
	ColdFor time.Duration // as reported by the upstream; zero: not reported
	Limit   pimento.LimitNotice
	Down    bool // nothing listens at the upstream's address
	Unsent  bool // nothing was sent to the upstream
}

const (
	// initialServiceTime is the time that a request is expected to take before
	// any was measured.
	initialServiceTime = 100 * time.Millisecond
	// serviceTimeAlpha, slownessAlpha and longTermAlpha are the weights of a new
	// measurement: of a route's service time, and of an upstream's slowness over
	// a few requests and over many.
	serviceTimeAlpha = 0.05
	slownessAlpha    = 0.15
	longTermAlpha    = 0.02
	// minSamples is how many requests must have been measured before estimates
	// are derived from them.
	minSamples = 5
	// maxSlowness and minSlowness bound the estimated slowness of an upstream.
	maxSlowness = 40
	minSlowness = 0.1
)

// serviceTime is how long the requests of a route take, averaged over the
// upstreams in proportion to their use.
type serviceTime struct {
	mean      time.Duration
	deviation time.Duration // mean absolute deviation
	count     int
}

func (s *serviceTime) add(d time.Duration) {
	s.count++
	alpha := max(serviceTimeAlpha, 1/float64(s.count))
	s.deviation += time.Duration(alpha * float64((d-s.mean).Abs()-s.deviation))
	s.mean += time.Duration(alpha * float64(d-s.mean))
}

// upper returns a time that most requests stay below.
func (s *serviceTime) upper() time.Duration {
	return s.mean + time.Duration(upperDeviations*float64(s.deviation))
}

// upperDeviations is how many mean deviations above the mean the upper estimate
// of a service time is.
const upperDeviations = 1.0

// slowness is how many times longer than usual requests take at an upstream.
type slowness struct {
	factor float64
	count  int
}

func (s *slowness) value() float64 {
	if s.count == 0 {
		return 1
	}
	return s.factor
}

// add updates the moving average with a measurement; a weight below 1 reduces
// its share.
func (s *slowness) add(f, alpha, weight float64) {
	f = min(max(f, minSlowness), maxSlowness)
	s.count++
	alpha = weight * max(alpha, 1/float64(s.count+1))
	s.factor = s.value()*(1-alpha) + alpha*f
}

// meanServiceTime returns the mean service time of a route, or that of all
// requests if the route was not measured.
func (p *Pool) meanServiceTime(r pimento.RouteName) time.Duration {
	if s, ok := p.serviceTimes[r]; ok {
		return s.mean
	}
	if p.overallServiceTime.count == 0 {
		return initialServiceTime
	}
	return p.overallServiceTime.mean
}

// upperRatio returns a time that most requests of a route stay below, relative
// to their mean.
func (p *Pool) upperRatio(r pimento.RouteName) float64 {
	s, ok := p.serviceTimes[r]
	if !ok {
		s = &p.overallServiceTime
	}
	if s.mean <= 0 {
		return 1
	}
	return float64(s.upper()) / float64(s.mean)
}

// expectedDuration returns how long a request would take at an upstream.
// Running requests that overrun show a slow upstream before its answers do; a short
// route's must overrun as far as any other's, since a delay of milliseconds shows
// nothing.
func (p *Pool) expectedDuration(now time.Time, t *Ticket, u *upstream) time.Duration {
	f := u.trustedSlowness(now) * u.hostSlowness.value(now)
	for _, r := range u.running {
		mean := max(p.meanServiceTime(r.ticket.Route), p.overallServiceTime.mean)
		if age := now.Sub(r.startedAt); mean > 0 && age > mean*overrunFactor {
			f = max(f, float64(age)/float64(mean)/overrunFactor)
		}
	}
	if now.Before(u.cold.until) {
		f *= coldSlowness
	}
	return time.Duration(float64(p.meanServiceTime(t.Route)) * min(f, maxSlowness))
}

// overrunFactor is how many times the mean service time a request may run
// before it raises the expected duration at its upstream.
const overrunFactor = 3

// recordResult updates the estimates of an upstream and a route with the result
// of a request.
func (p *Pool) recordResult(now time.Time, r *activeRequest, result Result) {
	u := r.upstream
	u.measuredAt = now
	u.health.record(now, result.Kind)
	hostFactor := r.hostSlowness
	if result.HasLoad && result.Load.Slowness > 0 {
		u.hostSlowness.update(now, p.relativeSlowness(result.Load.Slowness))
		hostFactor = (r.hostSlowness + u.hostSlowness.reported) / 2
	}
	if result.ColdFor > 0 {
		u.cold.until = later(u.cold.until, now.Add(result.ColdFor))
	}
	if result.Kind != ResultAnswered || result.Took <= 0 {
		return
	}
	s, ok := p.serviceTimes[r.ticket.Route]
	if !ok {
		s = &serviceTime{}
		p.serviceTimes[r.ticket.Route] = s
	}
	if s.count >= minSamples && !now.Before(u.cold.until) {
		f := float64(result.Took) / float64(s.mean) / hostFactor
		weight := min(1, float64(s.mean)/float64(p.overallServiceTime.mean))
		u.slowness.add(f, slownessAlpha, weight)
		u.longTermSlowness.add(f, longTermAlpha, weight)
	}
	// Not divided by the upstream's slowness: only the product of service time
	// and slowness is measured, so both would drift.
	s.add(result.Took)
	p.overallServiceTime.add(result.Took)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Capacities returns how many requests a second each usable upstream can handle
// of the present mix; nil before a few requests were measured.
func (p *Pool) Capacities(now time.Time) map[pimento.UpstreamName]float64 {
	if p.overallServiceTime.count < minSamples {
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

// UpstreamReports describes the upstreams, for operators.
func (p *Pool) UpstreamReports(now time.Time) []pimento.UpstreamReport {
	var out []pimento.UpstreamReport
	for _, u := range p.upstreams {
		out = append(out, pimento.UpstreamReport{
			Upstream: u.Name, Service: u.Service, Usable: u.Usable, Cold: now.Before(u.cold.until),
			Slowness: u.trustedSlowness(now), FailureRate: u.health.failures, Running: len(u.running), Slots: u.Slots,
			Capacity: p.throughput(now, &Ticket{}, u), Limit: u.pacer.Rate(),
		})
	}
	return out
}
