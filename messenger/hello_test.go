package messenger

import (
	"bytes"
	"encoding/binary"
	"errors"
	"testing"

	"github.com/matryer/is"
)

// TestLargeHello guards against memory that anybody who connects can make a process allocate.
func TestLargeHello(t *testing.T) {
	is := is.New(t)
	frame := binary.BigEndian.AppendUint32(nil, maxHello+1)
	_, err := readFrameUpTo(bytes.NewReader(frame), maxHello)
	is.True(errors.Is(err, errFrame))
}

// FuzzReadFrame guards against frames that end a process.
func FuzzReadFrame(f *testing.F) {
	frame, err := encodeFrame(&Message{Call: 7, Heartbeat: &Heartbeat{}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(frame)
	f.Add([]byte{0, 0, 0, 1, 0xa0})
	f.Fuzz(func(_ *testing.T, data []byte) {
		m, err := readFrameUpTo(bytes.NewReader(data), maxHello)
		if err == nil {
			_ = m.unseal("token") // any error will do
		}
	})
}
