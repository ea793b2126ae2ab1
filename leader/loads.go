package leader

import (
	"math"
	"time"

	"pimentorelay.example/pimento"
	"pimentorelay.example/pimento/messenger"
)

const (
	// loadWindow is the time constant of the request rates of keys. Hot keys
	// change within seconds.
	loadWindow = 2500 * time.Millisecond
	// forgetLoad is the rate in requests a second below which a key is
	// forgotten.
	forgetLoad = 0.02
)

// loads are the request rates of keys.
type loads struct {
	services map[pimento.ServiceName]*keyRates
}

// keyRates are the request rates of the keys of one service as of a moment.
type keyRates struct {
	at    time.Time
	rates map[pimento.Key]float64 // requests a second
}

func (l *loads) init() { l.services = make(map[pimento.ServiceName]*keyRates) }

// decay brings the rates up to now.
func (k *keyRates) decay(now time.Time) {
	f := math.Exp(-now.Sub(k.at).Seconds() / loadWindow.Seconds())
	k.at = now
	for key, rate := range k.rates {
		if rate *= f; rate < forgetLoad {
			delete(k.rates, key)
		} else {
			k.rates[key] = rate
		}
	}
}

// add counts requests.
func (l *loads) add(now time.Time, list []messenger.KeyLoad) {
	for _, x := range list {
		k, ok := l.services[x.Service]
		if !ok {
			k = &keyRates{at: now, rates: make(map[pimento.Key]float64)}
			l.services[x.Service] = k
		}
		if now.Sub(k.at) > loadWindow/16 {
			k.decay(now)
		}
		k.rates[x.Key] += float64(x.Count) / loadWindow.Seconds()
	}
}

// of returns the rates of a service's keys now.
func (l *loads) of(now time.Time, service pimento.ServiceName) map[pimento.Key]float64 {
	k, ok := l.services[service]
	if !ok {
		return nil
	}
	k.decay(now)
	return k.rates
}
