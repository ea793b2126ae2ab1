package forwarder

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"pimentorelay.example/pimento"
)

// failedPermit is a permit for an upstream that runs the request and fails with a status.
type failedPermit struct {
	permit
	status   int
	metadata pimento.AnswerMetadata
	length   int64 // of the body, -1 if unknown
	ended    []error
	closed   bool
}

func (p *failedPermit) Done(err error) { p.ended = append(p.ended, err) }

func (p *failedPermit) Serve(context.Context, *pimento.Request, io.Reader) (pimento.Answer, pimento.AnswerMetadata, error) {
	head := pimento.AnswerHead{Status: p.status, Header: make(http.Header), BodyLength: p.length}
	body := &hookedBody{ReadCloser: io.NopCloser(strings.NewReader(strings.Repeat("x", 2*maxBufferedBody))), onClose: func() { p.closed = true }}
	if p.length >= 0 {
		body.ReadCloser = io.NopCloser(strings.NewReader(strings.Repeat("x", int(p.length))))
	}
	return pimento.Answer{Head: head, Body: body}, p.metadata, nil
}

// failedDispatcher always issues the same permit.
type failedDispatcher struct {
	permit   *failedPermit
	acquired int
}

func (d *failedDispatcher) Acquire(context.Context, *pimento.Request, AttemptState) (Permit, error) {
	d.acquired++
	return d.permit, nil
}

// TestFailureThatWouldPromise guards against an upstream's own failure that makes a caller
// send a request again which has run, as its status promises that it has not.
func TestFailureThatWouldPromise(t *testing.T) {
	for _, c := range []struct {
		name     string
		kind     pimento.RouteKind
		method   string
		promise  bool // the upstream does not say that it did not run the request
		length   int64
		withheld bool
	}{
		{"may run once", pimento.RouteOnce, http.MethodPost, true, 3, true},
		{"may run once, long body", pimento.RouteOnce, http.MethodPost, true, 2 * maxBufferedBody, true},
		{"may run once, body without end", pimento.RouteOnce, http.MethodPost, true, -1, true},
		{"may run once, no promise", pimento.RouteOnce, http.MethodPost, false, 3, false},
		{"idempotent", pimento.RouteIdempotent, http.MethodPost, true, 3, false},
		{"by method, may run once", pimento.RouteByMethod, http.MethodPost, true, 3, true},
		{"by method, idempotent", pimento.RouteByMethod, http.MethodGet, true, 3, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			p := &failedPermit{status: http.StatusServiceUnavailable, metadata: pimento.AnswerMetadata{FalsePromise: c.promise}, length: c.length}
			d := &failedDispatcher{permit: p}
			seen := &traceRecorder{}
			f := &Forwarder{View: func() *View { return newView(c.kind, 3) }, Dispatcher: d, Observer: seen}
			r := &pimento.Request{ID: "1", Method: c.method, Path: "/x", Deadline: time.Now().Add(time.Second), BodyLength: 4}
			answer, err := f.Handle(t.Context(), r, strings.NewReader("body"))
			is.Equal(d.acquired, 1) // it is not sent again
			if !c.withheld {
				is.NoErr(err)
				is.Equal(answer.Head.Status, http.StatusServiceUnavailable)
				return
			}
			var out *pimento.OutcomeError
			is.True(errors.As(err, &out))
			is.Equal(out.Reason, pimento.ReasonUpstreamFailed)
			is.Equal(out.Status(), http.StatusBadGateway)
			is.True(strings.Contains(out.Detail, "503")) // the log has the upstream's status
			is.True(p.closed)
			is.Equal(p.ended, []error{nil}) // the upstream has answered, it did not crash
			is.Equal(len(seen.ended[0].Attempts), 1)
		})
	}
}
