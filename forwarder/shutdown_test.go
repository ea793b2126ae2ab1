package forwarder

import (
	"errors"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"pimentorelay.example/pimento"
)

// TestRequestsNearTheEndOfAProcess guards against requests that are sent to an upstream so late
// in a shutdown that their answers are cut off, and against a refusal of those that end in time.
func TestRequestsNearTheEndOfAProcess(t *testing.T) {
	full := step{err: pimento.NotRun(pimento.ReasonRefused, "full")}
	lost := step{err: pimento.Unknown(pimento.ReasonUpstreamLost, "reset")}
	const limit = 2 * time.Second // of each request; that of the route is 1 s
	for _, c := range []struct {
		name   string
		endsIn time.Duration // the end of the process, from the arrival of the request
		known  int           // the permit with which the end becomes known, from one; zero: at the arrival
		steps  []step
		sent   int
		want   pimento.Outcome
	}{
		{"no shutdown", 0, 0, []step{{}}, 1, pimento.OutcomeAnswered},
		{"ends in time by the timeout of its route", 1500 * time.Millisecond, 0, []step{{}}, 1, pimento.OutcomeAnswered},
		{"may last longer than the process", 900 * time.Millisecond, 0, []step{{}}, 0, pimento.OutcomeNotRun},
		{"the process has ended its requests", -time.Millisecond, 0, []step{{}}, 0, pimento.OutcomeNotRun},
		{"has waited until the end is near", 500 * time.Millisecond, 1, []step{{}}, 0, pimento.OutcomeNotRun},
		{"is tried again as the end is near", 500 * time.Millisecond, 2, []step{full, {}}, 1, pimento.OutcomeNotRun},
		{"may have run before that", 500 * time.Millisecond, 2, []step{lost, {}}, 1, pimento.OutcomeUnknown},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			now := time.Now()
			d := &dispatcher{steps: c.steps}
			endsAt := func() time.Time {
				if c.endsIn == 0 || d.acquired < c.known {
					return time.Time{}
				}
				return now.Add(c.endsIn)
			}
			f := &Forwarder{View: func() *View { return newView(pimento.RouteIdempotent, 2) }, Dispatcher: d, EndsAt: endsAt}
			r := &pimento.Request{ID: "1", Method: http.MethodPost, Path: "/x", ArrivedAt: now, Deadline: now.Add(limit), BodyLength: 4}
			_, err := f.Handle(t.Context(), r, strings.NewReader("body"))
			is.Equal(d.sent, c.sent)
			var out *pimento.OutcomeError
			if !errors.As(err, &out) {
				is.Equal(c.want, pimento.OutcomeAnswered)
				return
			}
			is.Equal(out.Outcome, c.want)
			is.Equal(out.Reason, pimento.ReasonStopping)
			is.True(out.RetryAfter > 0)
		})
	}
}
