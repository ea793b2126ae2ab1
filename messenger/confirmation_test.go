package messenger

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
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
	upstreams := size(&Message{Heartbeat: &Heartbeat{Upstreams: &Confirmation{Stamp: stamp, Later: c.Later, Version: c.Version, Era: c.Era}}}) - size(&Message{Heartbeat: &Heartbeat{}})
	reply := size(&Message{HeartbeatReply: &HeartbeatReply{Stamp: &stamp}}) - size(&Message{HeartbeatReply: &HeartbeatReply{}})
	t.Logf("%d and %d bytes more in a heartbeat, %d in a reply", heartbeat, upstreams, reply)
	is.True(heartbeat <= 56)
	is.True(upstreams <= 56)
	is.True(reply <= 32)
}

// TestOlderPeersIgnoreConfirmations checks that a member of an older version understands a
// heartbeat that dates reads, and that one without dates is understood here.
func TestOlderPeersIgnoreConfirmations(t *testing.T) {
	is := is.New(t)
	present := &Heartbeat{StoreLost: true, Versions: Versions{Epoch: 7}, Confirmation: &Confirmation{Version: 1}, Upstreams: &Confirmation{Version: 2}}
	encoded, err := encMode.Marshal(present)
	is.NoErr(err)
	var older wireHeartbeat
	is.NoErr(cbor.Unmarshal(encoded, &older))
	is.Equal(older, wireHeartbeat{Blind: true, Versions: Versions{Epoch: 7}})
	encoded, err = encMode.Marshal(&older)
	is.NoErr(err)
	var decoded Heartbeat
	is.NoErr(cbor.Unmarshal(encoded, &decoded))
	is.Equal(decoded, Heartbeat{StoreLost: true, Versions: Versions{Epoch: 7}})
}
