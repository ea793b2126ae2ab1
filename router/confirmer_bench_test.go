package router

import (
	"testing"
	"time"

	"pimentorelay.example/pimento/timekeeper"
)

// BenchmarkIsCurrent measures what a request costs while the manifest is fresh.
func BenchmarkIsCurrent(b *testing.B) {
	c := newConfirmer(nil, func() time.Duration { return time.Minute })
	c.confirm(timekeeper.Now())
	arrived := time.Now()
	for b.Loop() {
		if !c.IsCurrent(arrived) {
			b.Fatal("not current")
		}
	}
}
