package forwarder

import (
	"testing"

	"github.com/matryer/is"

	"pimentorelay.example/pimento"
)

// weightedRoute returns a route with services of the given weights, and their sum.
func weightedRoute(weights []int) (r *pimento.Route, sum int) {
	r = &pimento.Route{Name: "r"}
	for i, w := range weights {
		r.Targets = append(r.Targets, pimento.Target{Service: pimento.ServiceName('a' + rune(i)), Weight: w})
		sum += w
	}
	return r, sum
}

// TestWeightedTargets checks that the services of a route get exactly their
// weights over whole cycles and are less than two requests off at any time, also
// after the weights change.
func TestWeightedTargets(t *testing.T) {
	is := is.New(t)
	f := &Forwarder{}
	for _, weights := range [][]int{{3, 1}, {50, 30, 20}, {1, 0}, {7, 7, 1}} {
		r, sum := weightedRoute(weights)
		got := make(map[pimento.ServiceName]int)
		for n := 1; n <= 20*sum; n++ {
			got[f.nextTarget(r)]++
			for _, target := range r.Targets {
				deviation := float64(got[target.Service]) - float64(n*target.Weight)/float64(sum)
				is.True(deviation > -2 && deviation < 2)
			}
		}
		for _, target := range r.Targets {
			is.Equal(got[target.Service], 20*target.Weight)
		}
	}
}

// TestSharesWithFewRequestsAProcess guards against processes that all begin a
// weighted route with the same service, so that its share is too large over all of
// them while each has handled only a few requests.
func TestSharesWithFewRequestsAProcess(t *testing.T) {
	const maxDeviation = 0.1 // the share that operators accept
	for _, c := range []struct {
		processes, requests int
	}{{830, 1}, {80, 4}, {80, 6}} {
		for _, weights := range [][]int{{1, 1}, {75, 25}, {90, 10}, {50, 30, 20}, {1, 0}, {7000, 3000}} {
			r, sum := weightedRoute(weights)
			got := make(map[pimento.ServiceName]int)
			for range c.processes {
				f := &Forwarder{}
				for range c.requests {
					got[f.nextTarget(r)]++
				}
			}
			for _, target := range r.Targets {
				share := float64(got[target.Service]) / float64(c.processes*c.requests)
				weight := float64(target.Weight) / float64(sum)
				if share < weight-maxDeviation || share > weight+maxDeviation {
					t.Errorf("%d processes with %d requests each, weights %v: %s has a share of %.2f", c.processes, c.requests, weights, target.Service, share)
				}
			}
		}
	}
}
