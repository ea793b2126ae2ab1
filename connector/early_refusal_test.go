package connector

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"pimentorelay.example/pimento"
)

// TestRefusalDuringABodyIsHeard guards against a pause that is not obeyed, and a request
// that is told to may have run, since its upstream refused it and closed the connection
// before it had read the body.
func TestRefusalDuringABodyIsHeard(t *testing.T) {
	const requests = 300
	is := is.New(t)
	s := newFakeServer(t, func(p *peer) {
		if _, err := p.readRequest(false); err != nil {
			return
		}
		fmt.Fprint(p, "HTTP/1.1 503 Busy\r\nPimentorelay-Attempt-Id: r1\r\nPimentorelay-Not-Executed: 1\r\nRetry-After: 2\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
	})
	c := s.client()
	var heard atomic.Int32
	c.OnAnswer = func(_ time.Time, m pimento.AnswerMetadata) {
		if m.Pause.Named {
			heard.Add(1)
		}
	}
	refused := 0
	for range requests {
		_, _, err := doRequest(c, "r1", http.MethodPost, strings.Repeat("x", 2<<20))
		if outcomeOf(err) == pimento.OutcomeNotRun {
			refused++
		} else {
			t.Log(err)
		}
	}
	is.Equal(int(heard.Load()), requests)
	is.Equal(refused, requests)
}
