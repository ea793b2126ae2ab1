package leader

import (
	"math"
	"time"

	"pimentorelay.example/pimento"
	"pimentorelay.example/pimento/messenger"
)

const (
	// baselineTimeConstant is the time constant of the baseline request rates.
	baselineTimeConstant = 2500 * time.Millisecond
	// burstTimeConstant is that of the burst rates, which detect keys that have
	// just become hot. Keys stay hot for seconds only.
	burstTimeConstant = 600 * time.Millisecond
	// burstMargin is how many requests above the baseline and twice its Poisson
	// deviation, within burstTimeConstant, count as a burst.
	burstMargin = 2
	// keysPerBin is the number of neighbouring keys that are also counted
	// together: hot keys are often neighbours with few requests for each.
	keysPerBin = 64
	// minTrackedRate is the rate in requests per second below which a key is no
	// longer tracked.
	minTrackedRate = 0.02
)

// loads are the request rates of keys.
type loads struct {
	services map[pimento.ServiceName]*keyRates
}

// keyRates are the request rates of the keys of one service.
type keyRates struct {
	since time.Time // start of the time covered by reports
	keys  map[pimento.Key]rate
	bins  map[pimento.Key]rate // by key / keysPerBin
}

// rate holds two exponentially decaying averages of a request rate at a point in
// time, in requests per second.
type rate struct {
	at       time.Time
	baseline float64
	burst    float64
}

// decayTo returns the rate at a later time if no requests came in between.
func (r rate) decayTo(now time.Time) rate {
	elapsed := now.Sub(r.at).Seconds()
	r.at = now
	r.baseline *= math.Exp(-elapsed / baselineTimeConstant.Seconds())
	r.burst *= math.Exp(-elapsed / burstTimeConstant.Seconds())
	return r
}

// addRequests decays the rate to now and adds n requests.
func (r rate) addRequests(now time.Time, n int) rate {
	r = r.decayTo(now)
	r.baseline += float64(n) / baselineTimeConstant.Seconds()
	r.burst += float64(n) / burstTimeConstant.Seconds()
	return r
}

// correctForAge corrects the bias towards zero of a rate that has been counted
// for age only.
func (r rate) correctForAge(age time.Duration) rate {
	r.baseline /= 1 - math.Exp(-age.Seconds()/baselineTimeConstant.Seconds())
	r.burst /= 1 - math.Exp(-age.Seconds()/burstTimeConstant.Seconds())
	return r
}

// growth returns the ratio of the burst rate to the baseline, or 1 if the
// difference may be due to chance.
func (r rate) growth() float64 {
	baseline, burst := r.baseline*burstTimeConstant.Seconds(), r.burst*burstTimeConstant.Seconds()
	if r.baseline <= 0 || burst < baseline+2*math.Sqrt(baseline)+burstMargin {
		return 1
	}
	return burst / baseline
}

func (l *loads) init() { l.services = make(map[pimento.ServiceName]*keyRates) }

// add counts the requests of a report.
func (l *loads) add(now time.Time, list []messenger.KeyLoad) {
	for _, x := range list {
		s, ok := l.services[x.Service]
		if !ok {
			s = &keyRates{since: now.Add(-firstReportSpan), keys: make(map[pimento.Key]rate), bins: make(map[pimento.Key]rate)}
			l.services[x.Service] = s
		}
		s.keys[x.Key] = s.keys[x.Key].addRequests(now, x.Count)
		s.bins[x.Key/keysPerBin] = s.bins[x.Key/keysPerBin].addRequests(now, x.Count)
	}
}

// firstReportSpan is the time that the first report covers.
const firstReportSpan = 200 * time.Millisecond

// requestRates returns the current rates of a service's keys in requests per
// second. A burst of a key or of its bin raises the rate.
func (l *loads) requestRates(now time.Time, service pimento.ServiceName) map[pimento.Key]float64 {
	s, ok := l.services[service]
	if !ok {
		return nil
	}
	age := now.Sub(s.since)
	growth := make(map[pimento.Key]float64, len(s.bins))
	for bin, r := range s.bins {
		growth[bin] = r.decayTo(now).correctForAge(age).growth()
	}
	out := make(map[pimento.Key]float64, len(s.keys))
	for key, r := range s.keys {
		r = r.decayTo(now)
		if r.baseline < minTrackedRate {
			delete(s.keys, key)
			continue
		}
		r = r.correctForAge(age)
		out[key] = r.baseline * max(r.growth(), growth[key/keysPerBin])
	}
	return out
}
