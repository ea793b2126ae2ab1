package carrier

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"pimentorelay.example/pimento"
	"pimentorelay.example/pimento/encoder"
)

const (
	// maxMessageSize is the largest message in bytes.
	maxMessageSize = 4 << 20
	// chunkSize is the largest piece of a body in bytes.
	chunkSize = 32 << 10
	// chunkMark tells a piece of a body from a message.
	chunkMark = 1 << 31
	// lengthSize is the size in bytes of the length before each frame.
	lengthSize = 4
)

// errFrame is the cause where a peer breaks the framing.
var errFrame = errors.New("frame is too large or of the wrong kind")

// Request is a request as it travels to a dispatcher. Remaining takes the
// place of the deadline.
type Request struct {
	Head      pimento.RequestHead
	Remaining pimento.Span
	Witness   pimento.Witnessing
	Inline    []byte // the body, if it is short
}

// Continue asks for the body of a request that was admitted.
type Continue struct{}

// Refusal is an *pimento.OutcomeError as it travels.
type Refusal struct {
	Outcome pimento.Outcome
	Reason  pimento.Reason
	Detail  string
}

// Message is one message between processes. Exactly one field is set.
type Message struct {
	Ask            *pimento.ConfirmAsk     `cbor:",omitempty"`
	Confirm        *pimento.ConfirmAnswer  `cbor:",omitempty"`
	HandoverAsk    *pimento.HandoverAsk    `cbor:",omitempty"`
	HandoverAnswer *pimento.HandoverAnswer `cbor:",omitempty"`
	PlanAsk        *PlanAsk                `cbor:",omitempty"`
	Plan           *pimento.Plan           `cbor:",omitempty"`
	Record         *pimento.Record         `cbor:",omitempty"`
	Recorded       *Recorded               `cbor:",omitempty"`
	Request        *Request                `cbor:",omitempty"`
	Continue       *Continue               `cbor:",omitempty"`
	Answer         *pimento.AnswerHead     `cbor:",omitempty"`
	Refusal        *Refusal                `cbor:",omitempty"`
}

// PlanAsk asks for the plan in force at the receiver.
type PlanAsk struct{ Epoch uint64 }

// Recorded says that a record is kept.
type Recorded struct{ ID string }

// writeMessage writes one message as a frame.
func writeMessage(w io.Writer, m *Message) error {
	data, err := encoder.Marshal(m)
	if err != nil {
		return err
	}
	if len(data) > maxMessageSize {
		return fmt.Errorf("carrier: message of %d bytes: %w", len(data), errFrame)
	}
	frame := make([]byte, lengthSize, lengthSize+len(data))
	binary.BigEndian.PutUint32(frame, uint32(len(data)))
	_, err = w.Write(append(frame, data...))
	return err
}

// readMessage reads one frame that must be a message.
func readMessage(r io.Reader) (*Message, error) {
	n, chunk, err := readLength(r)
	if err != nil {
		return nil, err
	}
	if chunk || n > maxMessageSize {
		return nil, errFrame
	}
	data := make([]byte, n)
	if _, err := io.ReadFull(r, data); err != nil {
		return nil, err
	}
	var m Message
	if err := encoder.Unmarshal(data, &m); err != nil {
		return nil, err
	}
	return &m, nil
}

func readLength(r io.Reader) (n int, chunk bool, err error) {
	var b [lengthSize]byte
	if _, err := io.ReadFull(r, b[:]); err != nil {
		return 0, false, err
	}
	v := binary.BigEndian.Uint32(b[:])
	return int(v &^ chunkMark), v&chunkMark != 0, nil
}

// writeBody copies a body as chunks and ends it.
func writeBody(w io.Writer, body io.Reader) error {
	buf := make([]byte, lengthSize+chunkSize)
	for {
		n, err := body.Read(buf[lengthSize:])
		if n > 0 {
			binary.BigEndian.PutUint32(buf, uint32(n)|chunkMark)
			if _, err := w.Write(buf[:lengthSize+n]); err != nil {
				return err
			}
		}
		if err == io.EOF {
			return writeEnd(w)
		}
		if err != nil {
			return &bodyError{cause: err}
		}
	}
}

func writeEnd(w io.Writer) error {
	var end [lengthSize]byte
	binary.BigEndian.PutUint32(end[:], chunkMark)
	_, err := w.Write(end[:])
	return err
}

// bodyError says that the source of a body failed, not the stream.
type bodyError struct{ cause error }

func (e *bodyError) Error() string { return "body was cut: " + e.cause.Error() }

func (e *bodyError) Unwrap() error { return e.cause }

// admittedBody asks for a request's body when it is first read.
type admittedBody struct {
	bodyReader
	w     io.Writer
	asked bool
}

// Read implements io.Reader.
func (b *admittedBody) Read(p []byte) (int, error) {
	if !b.asked {
		b.asked = true
		if err := writeMessage(b.w, &Message{Continue: &Continue{}}); err != nil {
			return 0, err
		}
	}
	return b.bodyReader.Read(p)
}

// bodyReader reads the chunks of a body until its end.
type bodyReader struct {
	r    io.Reader
	left int
	done bool
}

// Read implements io.Reader. A stream that ends before the body does is
// io.ErrUnexpectedEOF.
func (b *bodyReader) Read(p []byte) (int, error) {
	for b.left == 0 {
		if b.done {
			return 0, io.EOF
		}
		n, chunk, err := readLength(b.r)
		if err != nil {
			return 0, unexpected(err)
		}
		if !chunk || n > chunkSize {
			return 0, errFrame
		}
		b.left, b.done = n, n == 0
	}
	n, err := b.r.Read(p[:min(len(p), b.left)])
	b.left -= n
	return n, unexpected(err)
}

func unexpected(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}
