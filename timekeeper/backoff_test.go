package timekeeper

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestBackoff(t *testing.T) {
	is := is.New(t)
	b := Backoff{Least: 100 * time.Millisecond, Most: 500 * time.Millisecond}
	for _, most := range []time.Duration{100, 200, 400, 500, 500} {
		d, most := b.Pause(), most*time.Millisecond
		is.True(d >= most/2 && d <= most)
	}
	b.Reset()
	is.True(b.Pause() <= 100*time.Millisecond)
}
