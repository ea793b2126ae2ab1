package connector

import (
	"errors"
	"fmt"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"pimentorelay.example/pimento"
)

// TestRefusalWithoutIDOnAKeptConnection guards against a request that is told not to have
// run, because a second refusal of an earlier call that bore no ID, such as a health probe,
// came where its answer is due.
func TestRefusalWithoutIDOnAKeptConnection(t *testing.T) {
	is := is.New(t)
	refuse := func(p *peer) {
		fmt.Fprint(p, "HTTP/1.1 503 Service Unavailable\r\nPimentorelay-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
	}
	s := newFakeServer(t, func(p *peer) {
		if _, err := p.readRequest(true); err != nil {
			return
		}
		refuse(p)
		if _, err := p.readRequest(true); err != nil { // the request begins to run
			return
		}
		refuse(p)
		p.writeAnswer("r1", "done")
	})
	client := s.client()
	_, _, err := client.Probe(t.Context(), "/healthz")
	is.NoErr(err)
	_, _, err = doRequest(client, "r1", http.MethodPost, "body")
	is.Equal(len(s.received()), 2)
	var out *pimento.OutcomeError
	if errors.As(err, &out) {
		is.Equal(out.Outcome, pimento.OutcomeUnknown) // it has run
	}
}
