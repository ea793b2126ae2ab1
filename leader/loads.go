package leader

import (
	"math"
	"time"

	"pimentorelay.example/pimento"
	"pimentorelay.example/pimento/messenger"
)

const (
	// loadWindow is the time constant of the request rates of keys.
	loadWindow = 2500 * time.Millisecond
	// burstWindow is the same of what tells that keys have just grown hot, which
	// lasts for seconds only.
	burstWindow = 600 * time.Millisecond
	// burstCount is how many more requests than usual within burstWindow, beside
	// what varies by chance, show that keys have grown hot.
	burstCount = 2
	// binSize is the number of neighbouring keys that are also counted together,
	// since hot keys are often neighbours of which each is asked for rarely.
	binSize = 64
	// forgetLoad is the rate in requests a second below which a key is
	// forgotten.
	forgetLoad = 0.02
)

// loads are the request rates of keys.
type loads struct {
	services map[pimento.ServiceName]*keyRates
}

// keyRates are the request rates of the keys of one service.
type keyRates struct {
	since time.Time // of the first report
	keys  map[pimento.Key]rate
	bins  map[pimento.Key]rate // by key / binSize
}

// rate is a request rate over two windows as of a moment, in requests a second.
type rate struct {
	at    time.Time
	usual float64
	burst float64
}

// asOf returns the rate as it is later, if nothing has come since.
func (r rate) asOf(now time.Time) rate {
	elapsed := now.Sub(r.at).Seconds()
	r.at = now
	r.usual *= math.Exp(-elapsed / loadWindow.Seconds())
	r.burst *= math.Exp(-elapsed / burstWindow.Seconds())
	return r
}

// count adds requests.
func (r rate) count(now time.Time, n int) rate {
	r = r.asOf(now)
	r.usual += float64(n) / loadWindow.Seconds()
	r.burst += float64(n) / burstWindow.Seconds()
	return r
}

// over corrects a rate for the time that has passed since the first report,
// before which nothing was counted.
func (r rate) over(age time.Duration) rate {
	r.usual /= 1 - math.Exp(-age.Seconds()/loadWindow.Seconds())
	r.burst /= 1 - math.Exp(-age.Seconds()/burstWindow.Seconds())
	return r
}

// growth returns how many times the usual rate the present one is, 1 unless it
// is more than varies by chance.
func (r rate) growth() float64 {
	usual, now := r.usual*burstWindow.Seconds(), r.burst*burstWindow.Seconds()
	if r.usual <= 0 || now < usual+2*math.Sqrt(usual)+burstCount {
		return 1
	}
	return now / usual
}

func (l *loads) init() { l.services = make(map[pimento.ServiceName]*keyRates) }

// add counts requests.
func (l *loads) add(now time.Time, list []messenger.KeyLoad) {
	for _, x := range list {
		s, ok := l.services[x.Service]
		if !ok {
			s = &keyRates{since: now.Add(-firstSpan), keys: make(map[pimento.Key]rate), bins: make(map[pimento.Key]rate)}
			l.services[x.Service] = s
		}
		s.keys[x.Key] = s.keys[x.Key].count(now, x.Count)
		s.bins[x.Key/binSize] = s.bins[x.Key/binSize].count(now, x.Count)
	}
}

// firstSpan is the time that the first report of requests covers.
const firstSpan = 200 * time.Millisecond

// of returns the rates of a service's keys now, in requests a second.
func (l *loads) of(now time.Time, service pimento.ServiceName) map[pimento.Key]float64 {
	s, ok := l.services[service]
	if !ok {
		return nil
	}
	age := now.Sub(s.since)
	growth := make(map[pimento.Key]float64, len(s.bins))
	for bin, r := range s.bins {
		growth[bin] = r.asOf(now).over(age).growth()
	}
	out := make(map[pimento.Key]float64, len(s.keys))
	for key, r := range s.keys {
		r = r.asOf(now)
		if r.usual < forgetLoad {
			delete(s.keys, key)
			continue
		}
		r = r.over(age)
		out[key] = r.usual * max(r.growth(), growth[key/binSize])
	}
	return out
}
