package messenger

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"github.com/fxamacker/cbor/v2"

	"pimentorelay.example/pimento"
)

// maxFrame is the largest size of a frame in bytes, without its length prefix.
const maxFrame = 8 << 20

// errFrame is returned for a frame that is larger than maxFrame.
var errFrame = errors.New("a message of an unexpected form")

// Message is one frame. Exactly one pointer is set, none in a Cancel.
type Message struct {
	Call   uint64 `cbor:"1,keyasint,omitempty"` // zero: no reply expected
	Reply  bool   `cbor:"2,keyasint,omitempty"`
	Cancel bool   `cbor:"3,keyasint,omitempty"` // the caller no longer waits

	Hello            *Hello            `cbor:"4,keyasint,omitempty"`
	Ping             *Ping             `cbor:"5,keyasint,omitempty"`
	Heartbeat        *Heartbeat        `cbor:"6,keyasint,omitempty"`
	HeartbeatReply   *HeartbeatReply   `cbor:"7,keyasint,omitempty"`
	Vote             *Vote             `cbor:"8,keyasint,omitempty"`
	State            *State            `cbor:"9,keyasint,omitempty"`
	Acquire          *Acquire          `cbor:"10,keyasint,omitempty"`
	Permit           *Permit           `cbor:"11,keyasint,omitempty"`
	Refusal          *Refusal          `cbor:"12,keyasint,omitempty"`
	Done             *Done             `cbor:"13,keyasint,omitempty"`
	Join             *Join             `cbor:"14,keyasint,omitempty"`
	BeginRecord      *BeginRecord      `cbor:"15,keyasint,omitempty"`
	BeginRecordReply *BeginRecordReply `cbor:"16,keyasint,omitempty"`
	Finish           *Finish           `cbor:"17,keyasint,omitempty"`
	Copy             *Copy             `cbor:"18,keyasint,omitempty"`
}

// Hello is the first message of a connection. Token is the one with which the
// receiver registered itself in the store, so only processes that can read the
// store can connect.
type Hello struct {
	From  pimento.Process
	To    pimento.ProcessID
	Token string
}

// Ping checks that the peer responds. The reply is a Ping too.
type Ping struct{}

// encMode writes times as text, with nanoseconds.
var encMode = func() cbor.EncMode {
	mode, err := cbor.EncOptions{Time: cbor.TimeRFC3339Nano}.EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

// decMode takes text as it is: callers and upstreams may send any bytes in their headers.
var decMode = func() cbor.DecMode {
	mode, err := cbor.DecOptions{UTF8: cbor.UTF8DecodeInvalid}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

// encodingError says that a message cannot be sent. Nothing was written, so that its connection
// serves others as before.
type encodingError struct{ cause error }

// Error names the cause.
func (e *encodingError) Error() string { return "the message cannot be encoded: " + e.cause.Error() }

// Unwrap returns the cause.
func (e *encodingError) Unwrap() error { return e.cause }

// isUnsent reports whether a message was not sent for what it holds.
func isUnsent(err error) bool {
	var e *encodingError
	return errors.As(err, &e)
}

// encodeFrame encodes a message, prefixed with its length. Its errors are of the type
// encodingError.
func encodeFrame(m *Message) ([]byte, error) {
	payload, err := encMode.Marshal(m)
	if err != nil {
		return nil, &encodingError{cause: err}
	}
	if len(payload) > maxFrame {
		return nil, &encodingError{cause: fmt.Errorf("%w: %d bytes", errFrame, len(payload))}
	}
	frame := make([]byte, 4, 4+len(payload))
	binary.BigEndian.PutUint32(frame, uint32(len(payload)))
	return append(frame, payload...), nil
}

// maxHello is the largest size of the first frame of a connection in bytes. Whoever connects
// may send one, so that it must not cost much.
const maxHello = 16 << 10

// readFrame reads one message.
func readFrame(r io.Reader) (*Message, error) { return readFrameUpTo(r, maxFrame) }

// readFrameUpTo reads one message of a size.
func readFrameUpTo(r io.Reader, most uint32) (*Message, error) {
	var size [4]byte
	if _, err := io.ReadFull(r, size[:]); err != nil {
		return nil, err
	}
	n := binary.BigEndian.Uint32(size[:])
	if n > most {
		return nil, fmt.Errorf("%w: %d bytes", errFrame, n)
	}
	payload := make([]byte, n)
	if _, err := io.ReadFull(r, payload); err != nil {
		return nil, err
	}
	m := &Message{}
	if err := decMode.Unmarshal(payload, m); err != nil {
		return nil, err
	}
	return m, nil
}
