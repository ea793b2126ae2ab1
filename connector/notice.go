package connector

import (
	"bytes"
	"context"
	"errors"
	"io"
	"time"

	"pimentorelay.example/pimento"
)

// checkSend returns the error of a request that must not be written: its context has
// ended, or CheckSend stops it.
func (c *Client) checkSend(ctx context.Context) error {
	if ctx.Err() != nil {
		return endedBeforeSend(ctx)
	}
	if c.CheckSend == nil {
		return nil
	}
	return c.CheckSend()
}

// readShortBody reads a body that is written together with the head. The caller may send it
// slowly, and nothing must be written before the last check.
func (e *exchange) readShortBody(body io.Reader) (io.Reader, error) {
	if n := e.request.BodyLength; n <= 0 || n > bufferSize {
		return body, nil
	}
	data := make([]byte, e.request.BodyLength)
	if _, err := io.ReadFull(body, data); err != nil {
		return nil, err
	}
	return bytes.NewReader(data), nil
}

// endedBeforeSend returns the error of a request whose context ended before any of it
// was written.
func endedBeforeSend(ctx context.Context) error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return pimento.NotRun(pimento.ReasonTimeout, "the deadline passed before the request was sent")
	}
	if errors.Is(context.Cause(ctx), pimento.ErrStopping) {
		return pimento.NotRun(pimento.ReasonStopping, pimento.ErrStopping.Error())
	}
	return pimento.NotRun(pimento.ReasonCallerGone, "the caller has left")
}

// observeAnswer passes the metadata of an answer to OnAnswer, unless it is from another
// upstream, which now has the address.
func (c *Client) observeAnswer(writtenAt time.Time, m pimento.AnswerMetadata) {
	if c.OnAnswer == nil || m.Misdirected || m.Upstream != "" && m.Upstream != c.Server.Name {
		return
	}
	c.OnAnswer(writtenAt, m)
}
