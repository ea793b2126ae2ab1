package limiter

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"pimentorelay.example/pimento"
)

// The promise about limits: in any limitPeriod, limitFactor times what the limit
// allows, and limitSlack more.
const (
	limitPeriod = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
)

// allowedBy returns the most requests in limitPeriod.
func allowedBy(limit pimento.RateLimit) int {
	return int(limitFactor*float64(limit)*limitPeriod.Seconds() + limitSlack)
}

// mostIn returns the most of the sorted times in any limitPeriod.
func mostIn(times []time.Time) int {
	most, first := 0, 0
	for i, x := range times {
		for x.Sub(times[first]) >= limitPeriod {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// TestProcessesTogetherExceedLimit guards against processes that each send what an
// upstream takes from all of them: a dispatcher and its backups that act at once,
// others that reach none of them, a dispatcher that takes over, pauses in between.
func TestProcessesTogetherExceedLimit(t *testing.T) {
	const others = 80
	for _, limit := range []pimento.RateLimit{0, 0.05, 0.5, 1, 2.9, 10, 40, 400} {
		for seed := range uint64(3) {
			t.Run(fmt.Sprintf("limit %g, seed %d", limit, seed), func(t *testing.T) {
				r := rand.New(rand.NewPCG(seed, 1))
				shares := []float64{1, 1.0 / 4, 1.0 / 8}
				for range others {
					shares = append(shares, 1.0/8/others)
				}
				pacers := make([]Pacer, len(shares))
				active := make([]bool, len(shares))
				var sent []time.Time
				for now := at(0); now.Before(at(40 * time.Second)); now = now.Add(10 * time.Millisecond) {
					if r.IntN(100) == 0 { // some begin, others pause
						for i := range active {
							active[i] = r.IntN(2) == 0
						}
					}
					if r.IntN(1500) == 0 { // the dispatcher is lost, the first backup takes over
						pacers[0], pacers[1], pacers[2] = pacers[1], pacers[2], Pacer{}
					}
					for i := range pacers {
						pacers[i].SetLimit(now, limit, shares[i])
						for active[i] && pacers[i].Allows(now) {
							pacers[i].Sent(now)
							sent = append(sent, now)
						}
					}
				}
				got := mostIn(sent)
				if got > allowedBy(limit) {
					t.Errorf("%d requests in %s, allowed %d", got, limitPeriod, allowedBy(limit))
				}
			})
		}
	}
}

// TestLimitIsUsed guards against a pacer that sends much less than the limit, or
// does not return to no limit.
func TestLimitIsUsed(t *testing.T) {
	is := is.New(t)
	var p Pacer
	is.True(p.Allows(at(0)))
	is.Equal(p.Wait(at(0), 100), time.Duration(0))
	p.SetLimit(at(0), 2.5, 1)
	is.True(!p.Allows(at(0))) // others may have sent just now
	is.Equal(p.Wait(at(0), 1), 400*time.Millisecond)
	is.Equal(p.Wait(at(0), 5), 2*time.Second)
	sent := 0
	for now := at(0); now.Before(at(10 * time.Second)); now = now.Add(10 * time.Millisecond) {
		if p.Allows(now) {
			p.Sent(now)
			sent++
		}
	}
	is.True(sent >= 24 && sent <= 25)
	p.Clear()
	is.True(p.Allows(at(10 * time.Second)))
	is.True(!p.Limited())
}

// TestRefusedCallersComeBackInTurn guards against refused callers that are all told
// the same time and are refused again.
func TestRefusedCallersComeBackInTurn(t *testing.T) {
	is := is.New(t)
	var p Pacer
	p.SetLimit(at(0), 2, 1)
	for i := 1; i <= 5; i++ {
		is.Equal(p.Book(at(0), 1), time.Duration(i)*500*time.Millisecond)
	}
	is.Equal(p.Book(at(2500*time.Millisecond), 1), time.Duration(0)) // all of them may have come back
}
