package messenger

import (
	"bytes"
	"strconv"
	"testing"
)

// BenchmarkState measures what a state with a manifest of some size costs its sender
// and its receiver.
func BenchmarkState(b *testing.B) {
	for _, size := range []int{2 << 10, 27 << 10, 108 << 10} {
		m := &Message{Call: 1, State: &State{Versions: Versions{Epoch: 1, Manifest: 2}, Manifest: make([]byte, size)}}
		frame, err := encodeFrame(m)
		if err != nil {
			b.Fatal(err)
		}
		b.Run("encode "+strconv.Itoa(size), func(b *testing.B) {
			for b.Loop() {
				if _, err := encodeFrame(m); err != nil {
					b.Fatal(err)
				}
			}
		})
		b.Run("read "+strconv.Itoa(size), func(b *testing.B) {
			for b.Loop() {
				if _, err := readFrame(bytes.NewReader(frame)); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
