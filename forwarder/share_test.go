package forwarder

import (
	"testing"

	"github.com/matryer/is"

	"pimentorelay.example/pimento"
)

// TestWeightedTargets checks that the services of a route get exactly their
// weights over whole cycles and are less than two requests off at any time, also
// after the weights change.
func TestWeightedTargets(t *testing.T) {
	is := is.New(t)
	f := &Forwarder{}
	for _, weights := range [][]int{{3, 1}, {50, 30, 20}, {1, 0}, {7, 7, 1}} {
		r := &pimento.Route{Name: "r"}
		sum := 0
		for i, w := range weights {
			r.Targets = append(r.Targets, pimento.Target{Service: pimento.ServiceName('a' + rune(i)), Weight: w})
			sum += w
		}
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
