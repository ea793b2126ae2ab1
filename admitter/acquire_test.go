package admitter

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"pimentorelay.example/pimento"
)

// TestRequestThatEndsWhileItWaits guards against a refusal that does not say why a request got no
// permit, or, where another process can take it, when its caller should return.
func TestRequestThatEndsWhileItWaits(t *testing.T) {
	ended := func(cause error) context.Context {
		ctx, cancel := context.WithCancelCause(t.Context())
		cancel(cause)
		return ctx
	}
	late, cancel := context.WithDeadline(t.Context(), time.Now().Add(-time.Second))
	defer cancel()
	for _, c := range []struct {
		name    string
		ctx     context.Context
		reason  pimento.Reason
		returns bool
	}{
		{"its process shuts down", ended(pimento.ErrStopping), pimento.ReasonStopping, true},
		{"its deadline passes", late, pimento.ReasonTimeout, false},
		{"its caller leaves", ended(nil), pimento.ReasonCallerGone, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var out *pimento.OutcomeError
			is.True(errors.As(contextError(c.ctx), &out))
			is.Equal(out.Outcome, pimento.OutcomeNotRun)
			is.Equal(out.Reason, c.reason)
			is.Equal(out.RetryAfter > 0, c.returns)
		})
	}
}
