package router

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestStoreHealth checks that the store counts as lost only after calls have
// failed for a while, and that loss and recovery are each reported once.
func TestStoreHealth(t *testing.T) {
	is := is.New(t)
	var h storeHealth
	at := func(s float64) time.Time { return time.Unix(100, 0).Add(time.Duration(s * float64(time.Second))) }
	_, back := h.answered(at(0))
	is.True(!back)
	for _, c := range []struct {
		at   float64
		lost bool
	}{{0.2, false}, {0.9, false}, {1.2, true}, {1.5, false}} {
		_, lost := h.failed(at(c.at))
		is.Equal(lost, c.lost)
	}
	since, back := h.answered(at(3))
	is.True(back)
	is.Equal(since, at(0))
	_, back = h.answered(at(4))
	is.True(!back)
}
