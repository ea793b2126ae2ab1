package connector

import (
	"bytes"
	"context"
	"io"
	"time"

	"pimentorelay.example/pimento"
)

// checkSend returns the error of a request that must not be written: its context has
// ended, or CheckSend stops it.
func (c *Client) checkSend(ctx context.Context, r *pimento.Request) error {
	if ctx.Err() != nil {
		return pimento.NotRun(contextReason(ctx), "it ended before it was sent")
	}
	if r.Check != nil {
		if err := r.Check(); err != nil {
			return err
		}
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

// observeAnswer passes the metadata of an answer to OnAnswer, unless it is from another
// upstream, which now has the address.
func (c *Client) observeAnswer(writtenAt time.Time, m pimento.AnswerMetadata) {
	if c.OnAnswer == nil || m.Misdirected || m.Upstream != "" && m.Upstream != c.Server.Name {
		return
	}
	c.OnAnswer(writtenAt, m)
}
