package leader

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"pimentorelay.example/pimento"
	"pimentorelay.example/pimento/messenger"
)

// poisson draws how many requests arrive in a time span at a rate.
func poisson(rng *rand.Rand, perSecond float64, span time.Duration) int {
	n := 0
	for t := rng.ExpFloat64() / perSecond; t < span.Seconds(); t += rng.ExpFloat64() / perSecond {
		n++
	}
	return n
}

// TestHotKeysAreDetected makes a few keys hot at once. A second later most of their
// load must be known, and the sums of the loads may not be much overestimated.
func TestHotKeysAreDetected(t *testing.T) {
	const (
		reportInterval = 200 * time.Millisecond
		keys           = 20000
		baseline       = 0.05 // requests per second of a key
		hotKeys        = 40
		hotRate        = 10.0
	)
	is := is.New(t)
	rng := rand.New(rand.NewPCG(1, 2))
	now := time.Unix(1_800_000_000, 0)
	var l loads
	l.init()
	reportLoad := func(from, to time.Duration) {
		for at := from; at < to; at += reportInterval {
			now = now.Add(reportInterval)
			var list []messenger.KeyLoad
			for k := range keys {
				rate := baseline
				if k < hotKeys && at >= 8*time.Second {
					rate = hotRate
				}
				if n := poisson(rng, rate, reportInterval); n > 0 {
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
	reportLoad(0, 8*time.Second)
	is.True(sum(0, keys) < 1.15*baseline*keys)
	reportLoad(8*time.Second, 9*time.Second)
	is.True(sum(0, hotKeys) > 0.7*hotKeys*hotRate)
	is.True(sum(hotKeys, keys) < 1.15*baseline*(keys-hotKeys))
	reportLoad(9*time.Second, 13*time.Second)
	is.True(sum(0, hotKeys) < 1.2*hotKeys*hotRate)
}
