package messenger

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestConfirmationIsSmall bounds what confirmations add to the leader's heartbeats, of
// which there are thousands a second in large deployments.
func TestConfirmationIsSmall(t *testing.T) {
	is := is.New(t)
	size := func(m *Message) int {
		frame, err := encodeFrame(m)
		is.NoErr(err)
		return len(frame)
	}
	stamp := Stamp{Process: 1<<63 + 12345, At: time.Date(2026, 12, 5, 0, 0, 0, 1, time.UTC).UnixNano()}
	c := &Confirmation{Stamp: stamp, Later: -412345678 * time.Nanosecond, Version: 0x4711abcd, Era: 3}
	heartbeat := size(&Message{Heartbeat: &Heartbeat{Confirmation: c}}) - size(&Message{Heartbeat: &Heartbeat{}})
	reply := size(&Message{HeartbeatReply: &HeartbeatReply{Stamp: &stamp}}) - size(&Message{HeartbeatReply: &HeartbeatReply{}})
	t.Logf("%d bytes more in a heartbeat, %d in a reply", heartbeat, reply)
	is.True(heartbeat <= 56)
	is.True(reply <= 32)
}
