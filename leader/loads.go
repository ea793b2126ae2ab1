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
	// burstWindow is the same of what tells that a key has just grown hot, which
	// lasts for seconds only.
	burstWindow = 600 * time.Millisecond
	// burstCount is how many requests within burstWindow show that a key has
	// grown hot; fewer may come together by chance.
	burstCount = 3
	// forgetLoad is the rate in requests a second below which a key is
	// forgotten.
	forgetLoad = 0.02
)

// loads are the request rates of keys.
type loads struct {
	services map[pimento.ServiceName]map[pimento.Key]keyRate
}

// keyRate is the request rate of a key over two windows as of a moment, in
// requests a second.
type keyRate struct {
	at    time.Time
	usual float64
	burst float64
}

// asOf returns the rate as it is later, if nothing has come since.
func (r keyRate) asOf(now time.Time) keyRate {
	elapsed := now.Sub(r.at).Seconds()
	r.at = now
	r.usual *= math.Exp(-elapsed / loadWindow.Seconds())
	r.burst *= math.Exp(-elapsed / burstWindow.Seconds())
	return r
}

// value returns the rate that the key is believed to have.
func (r keyRate) value() float64 {
	if r.burst*burstWindow.Seconds() >= burstCount {
		return max(r.usual, r.burst)
	}
	return r.usual
}

func (l *loads) init() { l.services = make(map[pimento.ServiceName]map[pimento.Key]keyRate) }

// add counts requests.
func (l *loads) add(now time.Time, list []messenger.KeyLoad) {
	for _, x := range list {
		rates, ok := l.services[x.Service]
		if !ok {
			rates = make(map[pimento.Key]keyRate)
			l.services[x.Service] = rates
		}
		r := rates[x.Key].asOf(now)
		r.usual += float64(x.Count) / loadWindow.Seconds()
		r.burst += float64(x.Count) / burstWindow.Seconds()
		rates[x.Key] = r
	}
}

// of returns the rates of a service's keys now, in requests a second.
func (l *loads) of(now time.Time, service pimento.ServiceName) map[pimento.Key]float64 {
	rates := l.services[service]
	out := make(map[pimento.Key]float64, len(rates))
	for key, r := range rates {
		r = r.asOf(now)
		if r.usual < forgetLoad {
			delete(rates, key)
			continue
		}
		out[key] = r.value()
	}
	return out
}
