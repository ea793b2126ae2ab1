package messenger

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"github.com/fxamacker/cbor/v2"

	"pimentorelay.example/pimento"
)

// maxFrame is the largest frame in bytes.
const maxFrame = 8 << 20

// errFrame is the cause where a frame or a message is not what was expected.
var errFrame = errors.New("a message of an unexpected form")

// Message is one frame. Exactly one of the pointers is set, but for a Cancel.
type Message struct {
	Call   uint64 `cbor:"1,keyasint,omitempty"` // zero: wants no reply
	Reply  bool   `cbor:"2,keyasint,omitempty"`
	Cancel bool   `cbor:"3,keyasint,omitempty"` // the caller waits no more

	Hello    *Hello    `cbor:"4,keyasint,omitempty"`
	Ping     *Ping     `cbor:"5,keyasint,omitempty"`
	Ask      *Ask      `cbor:"6,keyasint,omitempty"`
	AskReply *AskReply `cbor:"7,keyasint,omitempty"`
	Vote     *Vote     `cbor:"8,keyasint,omitempty"`
	State    *State    `cbor:"9,keyasint,omitempty"`
	Acquire  *Acquire  `cbor:"10,keyasint,omitempty"`
	Permit   *Permit   `cbor:"11,keyasint,omitempty"`
	Refusal  *Refusal  `cbor:"12,keyasint,omitempty"`
	Done     *Done     `cbor:"13,keyasint,omitempty"`
	Join     *Join     `cbor:"14,keyasint,omitempty"`
	Enter    *Enter    `cbor:"15,keyasint,omitempty"`
	Entered  *Entered  `cbor:"16,keyasint,omitempty"`
	Finish   *Finish   `cbor:"17,keyasint,omitempty"`
	Copy     *Copy     `cbor:"18,keyasint,omitempty"`
}

// Hello begins a connection. Token is the one with which the other process
// registered itself, so only who can read the store can speak to it.
type Hello struct {
	From  pimento.Process
	To    pimento.ProcessID
	Token string
}

// Ping asks for a sign of life. The reply is a Ping too.
type Ping struct{}

// encoding writes compact frames.
var encoding = func() cbor.EncMode {
	mode, err := cbor.EncOptions{Time: cbor.TimeRFC3339Nano}.EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

// appendFrame encodes a message with its length before it.
func appendFrame(m *Message) ([]byte, error) {
	text, err := encoding.Marshal(m)
	if err != nil {
		return nil, err
	}
	if len(text) > maxFrame {
		return nil, fmt.Errorf("%w: %d bytes", errFrame, len(text))
	}
	out := make([]byte, 4, 4+len(text))
	binary.BigEndian.PutUint32(out, uint32(len(text)))
	return append(out, text...), nil
}

// readFrame reads one message.
func readFrame(r io.Reader) (*Message, error) {
	var size [4]byte
	if _, err := io.ReadFull(r, size[:]); err != nil {
		return nil, err
	}
	n := binary.BigEndian.Uint32(size[:])
	if n > maxFrame {
		return nil, fmt.Errorf("%w: %d bytes", errFrame, n)
	}
	text := make([]byte, n)
	if _, err := io.ReadFull(r, text); err != nil {
		return nil, err
	}
	m := &Message{}
	if err := cbor.Unmarshal(text, m); err != nil {
		return nil, err
	}
	return m, nil
}
