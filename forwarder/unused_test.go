package forwarder

import (
	"context"
	"errors"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"pimentorelay.example/pimento"
)

// unusedPermits issues permits of which the first are not used, since this process may not
// send to their upstream.
type unusedPermits struct {
	unused   int
	attempts []AttemptState
	returned int
}

// Acquire implements Dispatcher.
func (d *unusedPermits) Acquire(_ context.Context, _ *pimento.Request, attempt AttemptState) (Permit, error) {
	d.attempts = append(d.attempts, attempt)
	return &unusedPermit{dispatcher: d, unused: len(d.attempts) <= d.unused}, nil
}

type unusedPermit struct {
	dispatcher *unusedPermits
	unused     bool
}

func (p *unusedPermit) Upstream() pimento.UpstreamName { return "u" }
func (p *unusedPermit) Basis() Basis                   { return Basis{} }
func (p *unusedPermit) Done(error)                     { p.dispatcher.returned++ }

// Serve implements Permit.
func (p *unusedPermit) Serve(_ context.Context, _ *pimento.Request, body io.Reader) (pimento.Answer, pimento.AnswerMetadata, error) {
	if text, err := io.ReadAll(body); err != nil || string(text) != "body" {
		return pimento.Answer{}, pimento.AnswerMetadata{}, pimento.Unknown(pimento.ReasonBodyCut, string(text))
	}
	if !p.unused {
		return pimento.Answer{Body: io.NopCloser(nil), Head: pimento.AnswerHead{Status: 200, BodyLength: maxBufferedBody + 1}}, pimento.AnswerMetadata{}, nil
	}
	out := pimento.NotRun(pimento.ReasonAvoided, "it wants nothing now")
	out.RetryAfter = 30 * time.Second
	return pimento.Answer{}, pimento.AnswerMetadata{}, out
}

// TestUnusedPermitIsNoAttempt guards against a request that ends, or is told to have used
// up its attempts, because permits could not be used; and against one that asks for ever.
func TestUnusedPermitIsNoAttempt(t *testing.T) {
	for _, c := range []struct {
		unused   int
		answered bool
	}{{0, true}, {1, true}, {maxUnusedPermits, true}, {maxUnusedPermits + 1, false}, {1000, false}} {
		is := is.New(t)
		d := &unusedPermits{unused: c.unused}
		f := &Forwarder{Dispatcher: d}
		r := &pimento.Request{Method: "POST", Route: &pimento.Route{MaxAttempts: 1}, Deadline: time.Now().Add(time.Minute)}
		trace := &Trace{}
		answer, err := f.forward(t.Context(), r, strings.NewReader("body"), trace)
		is.Equal(err == nil, c.answered)
		is.Equal(len(d.attempts), min(c.unused, maxUnusedPermits)+1)
		for i, attempt := range d.attempts {
			is.Equal(attempt.Number, 1)
			is.Equal(attempt.Again, i > 0)
			is.Equal(len(attempt.Avoid), 0)
		}
		if c.answered {
			is.Equal(len(trace.Attempts), 1)
			is.NoErr(answer.Body.Close())
			continue
		}
		var out *pimento.OutcomeError
		is.True(errors.As(err, &out))
		is.Equal(out.Outcome, pimento.OutcomeNotRun)
		is.Equal(out.RetryAfter, 30*time.Second)
		is.Equal(d.returned, len(d.attempts))
	}
}
