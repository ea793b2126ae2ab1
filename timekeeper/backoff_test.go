package timekeeper

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestBackoff(t *testing.T) {
	is := is.New(t)
	b := Backoff{Initial: 100 * time.Millisecond, Max: 500 * time.Millisecond}
	for _, limit := range []time.Duration{100, 200, 400, 500, 500} {
		d, limit := b.Pause(), limit*time.Millisecond
		is.True(d >= limit/2 && d <= limit)
	}
	b.Reset()
	is.True(b.Pause() <= 100*time.Millisecond)
}
