package limiter

import (
	"fmt"
	"testing"
	"time"

	"pimentorelay.example/pimento"
)

// BenchmarkAnswer measures what an answer with a limit costs beside ten others.
func BenchmarkAnswer(b *testing.B) {
	var book Book
	var p Pacer
	for i := range 10 {
		book.Observe(at(0), at(0), pimento.UpstreamName(fmt.Sprint(i)), named(3))
	}
	p.SetLimit(at(0), 3, 1)
	for i := 0; b.Loop(); i++ {
		now := at(time.Duration(i) * 300 * time.Millisecond)
		book.Observe(now, now, "0", named(3))
		book.Changes(now)
		if p.Allows(now) {
			p.Sent(now)
		}
	}
}

// BenchmarkMerge measures what a member does with the limits of a state.
func BenchmarkMerge(b *testing.B) {
	var book Book
	var list []Report
	for i := range 10 {
		list = append(list, Report{Upstream: pimento.UpstreamName(fmt.Sprint(i)), Rate: 3})
	}
	for i := 0; b.Loop(); i++ {
		now := at(time.Duration(i) * 300 * time.Millisecond)
		book.Merge(now, list)
		book.Changes(now)
	}
}
