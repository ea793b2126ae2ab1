package connector

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"pimentorelay.example/pimento"
	"pimentorelay.example/pimento/forwarder"
	"pimentorelay.example/pimento/platform"
)

// clientPermit sends a request with a client, whenever a permit is asked for.
type clientPermit struct{ client *Client }

func (p clientPermit) Acquire(context.Context, *pimento.Request, forwarder.AttemptState) (forwarder.Permit, error) {
	return p, nil
}
func (p clientPermit) Upstream() pimento.UpstreamName { return p.client.Server.Name }
func (p clientPermit) Basis() forwarder.Basis         { return forwarder.Basis{} }
func (p clientPermit) Done(error)                     {}
func (p clientPermit) Serve(ctx context.Context, r *pimento.Request, body io.Reader) (pimento.Answer, pimento.AnswerMetadata, error) {
	return p.client.Send(ctx, r, body)
}

// TestStatusForACaller guards against a status that promises a caller that a request has not
// run, where the upstream has run it, from the upstream's bytes to the caller's answer.
func TestStatusForACaller(t *testing.T) {
	const proof = "Pimentorelay-Response-Signature: 3e1b\r\n"
	for _, c := range []struct {
		name   string
		kind   pimento.RouteKind
		answer string // its status line and header, without ID and length
		status int    // that the caller gets
		sent   int    // requests that reach the upstream
	}{
		{"own 503", pimento.RouteOnce, "503 Service Unavailable\r\n" + proof, 502, 1},
		{"own 429", pimento.RouteOnce, "429 Too Many Requests\r\n" + proof, 502, 1},
		{"own 408", pimento.RouteOnce, "408 Request Timeout\r\n" + proof, 502, 1},
		{"own 503 with a pause", pimento.RouteOnce, "503 Service Unavailable\r\nRetry-After: 1\r\n" + proof, 502, 1},
		{"own 500", pimento.RouteOnce, "500 Internal Server Error\r\n" + proof, 500, 1},
		{"own 503, idempotent", pimento.RouteIdempotent, "503 Service Unavailable\r\n" + proof, 503, 1},
		{"refused", pimento.RouteOnce, "503 Service Unavailable\r\nPimentorelay-Not-Executed: 1\r\n", 503, 2},
		{"misdirected", pimento.RouteOnce, "421 Misdirected Request\r\n", 503, 2},
		{"success that says that it was not run", pimento.RouteOnce, "200 OK\r\nPimentorelay-Not-Executed: 1\r\n" + proof, 200, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := newFakeServer(t, func(p *peer) {
				for {
					if _, err := p.readRequest(true); err != nil {
						return
					}
					fmt.Fprintf(p, "HTTP/1.1 %sPimentorelay-Attempt-Id: a-1\r\nContent-Length: 4\r\n\r\ntext", c.answer)
				}
			})
			m := &pimento.Manifest{
				Services: []pimento.Service{{Name: "s"}},
				Routes: []pimento.Route{{
					Name: "r", Prefix: "/", Kind: c.kind, MaxAttempts: 2, Timeout: time.Second,
					Targets: []pimento.Target{{Service: "s", Weight: 1}},
				}},
			}
			f := &forwarder.Forwarder{View: func() *forwarder.View { return forwarder.NewView(m) }, Dispatcher: clientPermit{s.client()}}
			r := &pimento.Request{ID: "a-1", Method: http.MethodPost, Path: "/orders", Deadline: time.Now().Add(time.Second), BodyLength: 4}
			r.Header = http.Header{"Pimentorelay-Attempt-Id": {r.ID}}
			answer, err := f.Handle(t.Context(), r, strings.NewReader("body"))
			status, header := answer.Head.Status, answer.Head.Header
			var out *pimento.OutcomeError
			if errors.As(err, &out) {
				header = http.Header{}
				status = platform.Wire{}.WriteRefusal(header, r, out)
			}
			is.Equal(status, c.status)
			is.Equal(len(s.received()), c.sent)
			is.Equal(header.Get("Pimentorelay-Response-Signature") != "", strings.Contains(c.answer, proof) && status != 502)
		})
	}
}
