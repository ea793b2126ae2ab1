package leader

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"pimentorelay.example/pimento"
	"pimentorelay.example/pimento/messenger"
)

// poisson returns how many requests come in a span at a rate.
func poisson(rng *rand.Rand, perSecond float64, span time.Duration) int {
	n := 0
	for t := rng.ExpFloat64() / perSecond; t < span.Seconds(); t += rng.ExpFloat64() / perSecond {
		n++
	}
	return n
}

// TestKeysThatGrowHot holds the load pattern that hot keys change from one
// moment to the next: a second later most of their load is known, and the load
// of all keys together is not taken for more than it is.
func TestKeysThatGrowHot(t *testing.T) {
	const (
		report   = 200 * time.Millisecond
		keys     = 20000
		baseline = 0.05 // requests a second of a key
		hot      = 40
		hotter   = 10.0
	)
	is := is.New(t)
	rng := rand.New(rand.NewPCG(1, 2))
	now := time.Unix(1_800_000_000, 0)
	var l loads
	l.init()
	play := func(from, to time.Duration) {
		for at := from; at < to; at += report {
			now = now.Add(report)
			var list []messenger.KeyLoad
			for k := range keys {
				rate := baseline
				if k < hot && at >= 8*time.Second {
					rate = hotter
				}
				if n := poisson(rng, rate, report); n > 0 {
					list = append(list, messenger.KeyLoad{Service: "s", Key: pimento.Key(k), Count: n})
				}
			}
			l.add(now, list)
		}
	}
	sum := func(from, to int) (total float64) {
		for k, rate := range l.requestRates(now, "s") {
			if int(k) >= from && int(k) < to {
				total += rate
			}
		}
		return total
	}
	play(0, 8*time.Second)
	is.True(sum(0, keys) < 1.15*baseline*keys)
	play(8*time.Second, 9*time.Second)
	is.True(sum(0, hot) > 0.7*hot*hotter)
	is.True(sum(hot, keys) < 1.15*baseline*(keys-hot))
	play(9*time.Second, 13*time.Second)
	is.True(sum(0, hot) < 1.2*hot*hotter)
}
