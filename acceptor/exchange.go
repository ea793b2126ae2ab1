package acceptor

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"pimentorelay.example/pimento"
)

// exchange is one request with its answer.
type exchange struct {
	conn    *conn
	request *pimento.Request
	method  string
	body    *body         // nil if the request has none
	prefix  []byte        // start of the body, read before the request runs
	last    bool          // the connection is closed after this answer
	err     error         // why the request is refused without being run
	cost    int64         // charged to the account of the connection
	turn    chan struct{} // closed when the earlier answers have been written

	ready   chan struct{} // closed when answer or outcome is set; nil: already set
	answer  pimento.Answer
	outcome *pimento.OutcomeError
	cancel  context.CancelFunc
}

// readPrefix reads all of a short body, or the start of a longer one, before the
// request runs. A waiting request with a short body then delays neither the next
// request nor the detection of its caller's disconnect.
func (x *exchange) readPrefix() error {
	if err := x.conn.raw.SetReadDeadline(x.request.Deadline); err != nil {
		return pimento.NotRun(pimento.ReasonBodyCut, err.Error())
	}
	size := int64(bodyPrefixSize)
	if x.request.BodyLength > 0 {
		size = min(size, x.request.BodyLength+1) // to read the end of a short body as well
	}
	if !x.reserve(size * bodyCost) {
		x.last = true
		return refuseForMemory()
	}
	prefix := make([]byte, size)
	n, err := io.ReadFull(x.body, prefix)
	switch {
	case errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) && x.body.isComplete():
		x.request.BodyLength = int64(n)
	case errors.Is(err, os.ErrDeadlineExceeded):
		x.last = true
		return pimento.NotRun(pimento.ReasonCallerSlow, "the body has not come before the deadline")
	case err != nil:
		x.last = true
		return pimento.NotRun(pimento.ReasonBodyCut, err.Error())
	}
	x.prefix = prefix[:n]
	if x.body.isComplete() {
		return nil // the next read of the connection sets a deadline of its own
	}
	if err := x.conn.raw.SetReadDeadline(time.Time{}); err != nil {
		return pimento.NotRun(pimento.ReasonBodyCut, err.Error())
	}
	return nil
}

// reserve charges more memory to the exchange, and reports whether there is room for it.
func (x *exchange) reserve(n int64) bool {
	if !x.conn.account.Reserve(n) {
		return false
	}
	x.cost += n
	return true
}

// refuseForMemory returns the refusal of a request for which there is no memory.
func refuseForMemory() *pimento.OutcomeError {
	out := pimento.NotRun(pimento.ReasonNoMemory, errNoRoom.Error())
	out.RetryAfter = memoryRetryAfter
	return out
}

// chargeAnswer charges the answer, which is there already, to the exchange.
func (x *exchange) chargeAnswer() {
	n := int64(0)
	for name, values := range x.answer.Head.Header {
		for _, v := range values {
			n += headCost(len(name)+len(v), 1)
		}
	}
	n += min(max(x.answer.Head.BodyLength, 0), bodyPrefixSize)
	x.conn.account.Charge(n)
	x.cost += n
}

// handle passes the request to the handler.
func (x *exchange) handle() {
	defer close(x.ready)
	ctx, cancel := context.WithCancelCause(x.conn.ctx)
	x.cancel = func() { cancel(nil) }
	requests := x.conn.acceptor.requests
	stop := context.AfterFunc(requests, func() { cancel(context.Cause(requests)) })
	defer stop()
	answer, err := x.conn.acceptor.Handler.Handle(ctx, x.request, x.source())
	if x.body != nil {
		x.body.endHandler()
	}
	if err == nil {
		x.answer = answer
		x.chargeAnswer()
		return
	}
	if !errors.As(err, &x.outcome) {
		x.outcome = pimento.Unknown(pimento.ReasonUpstreamLost, err.Error())
	}
}

// source returns the body as the handler reads it, and sets the fingerprint of the
// request unless the body awaits a 100 Continue.
func (x *exchange) source() io.Reader {
	if x.body != nil && x.body.sendContinue != nil {
		return &awaitedBody{exchange: x}
	}
	x.request.SetFingerprint(x.prefix)
	if x.body == nil {
		return http.NoBody
	}
	return io.MultiReader(bytes.NewReader(x.prefix), x.body)
}

// refuse ends an exchange before it reaches the handler.
func (x *exchange) refuse(outcome *pimento.OutcomeError) {
	if x.mayFitLater(outcome) {
		outcome = pimento.NotRun(pimento.ReasonStaleManifest, outcome.Detail+", by a manifest that may be too old")
		outcome.RetryAfter = limitsRetryAfter
	}
	x.outcome = outcome
	if x.conn.acceptor.OnRefused != nil {
		x.conn.acceptor.OnRefused(x.request, outcome)
	}
}

// mayFitLater reports whether a request is refused by limits that may be too old.
func (x *exchange) mayFitLater(outcome *pimento.OutcomeError) bool {
	if outcome.Reason != pimento.ReasonHeaderTooLarge && outcome.Reason != pimento.ReasonBodyTooLarge {
		return false
	}
	at := x.request.ArrivedAt
	if at.IsZero() {
		at = time.Now()
	}
	isCurrent := x.conn.acceptor.IsCurrent
	return isCurrent != nil && !isCurrent(at)
}

// sendContinue sends a 100 Continue once the earlier answers have been written.
func (x *exchange) sendContinue() error {
	select {
	case <-x.turn:
	case <-x.conn.ctx.Done():
		return x.conn.ctx.Err()
	}
	if _, err := x.conn.w.WriteString("HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
		return err
	}
	return x.conn.w.Flush()
}
