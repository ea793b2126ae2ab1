package forwarder

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"

	"pimentorelay.example/pimento"
)

// longBody is the body of a long answer. It reports when it is first closed how the
// answer ended.
type longBody struct {
	io.ReadCloser
	ctx  context.Context // of the request
	left int64           // bytes to come; negative: unknown
	err  error           // of the last read
	once sync.Once
	done func(error)
}

// newLongBody returns the body of an answer to a request with a method.
func newLongBody(ctx context.Context, method string, answer pimento.Answer, done func(error)) *longBody {
	b := &longBody{ReadCloser: answer.Body, ctx: ctx, left: answer.Head.BodyLength, done: done}
	status := answer.Head.Status
	if method == http.MethodHead || status == http.StatusNoContent || status == http.StatusNotModified {
		b.left = 0
	}
	return b
}

// Read implements io.Reader.
func (b *longBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if b.left > 0 {
		b.left -= int64(n)
	}
	b.err = err
	return n, err
}

// Close implements io.Closer.
func (b *longBody) Close() error {
	err := b.ReadCloser.Close()
	b.once.Do(func() { b.done(b.end()) })
	return err
}

// end returns nil if the whole answer was read, and otherwise why it was not.
func (b *longBody) end() error {
	switch {
	case b.left == 0 || b.err == io.EOF:
		return nil
	case b.err != nil:
		return brokenOff(b.ctx, b.err)
	}
	return pimento.Unknown(pimento.ReasonCallerGone, "the caller has not read the whole answer")
}

// brokenOff returns the error of a request whose answer ended early with err.
func brokenOff(ctx context.Context, err error) error {
	detail := "the answer broke off: " + err.Error()
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return pimento.Unknown(pimento.ReasonTimeout, detail)
	case errors.Is(context.Cause(ctx), pimento.ErrStopping):
		return pimento.Unknown(pimento.ReasonStopping, detail)
	case ctx.Err() != nil:
		return pimento.Unknown(pimento.ReasonCallerGone, detail)
	}
	return pimento.Unknown(pimento.ReasonUpstreamLost, detail)
}
