package router

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"pimentorelay.example/pimento"
	"pimentorelay.example/pimento/forwarder"
	"pimentorelay.example/pimento/recorder"
)

// observer logs and counts what happens to requests.
type observer struct {
	events  *recorder.Recorder
	metrics *metrics.Set
	epoch   func() uint64 // of the term that is known
}

var _ forwarder.Observer = (*observer)(nil)

// Repeated implements forwarder.Observer.
func (o *observer) Repeated(r *pimento.Request, t *forwarder.Trail, err error) {
	o.count("relay_repeats_total", "Route", r.Route.Name, "Reason", reasonOf(err))
	o.events.Note(pimento.EventRequestRepeated, append(o.describe(r, t), outcome(err)...)...)
}

// Ended implements forwarder.Observer.
func (o *observer) Ended(r *pimento.Request, t *forwarder.Trail, status int, err error) {
	route := pimento.RouteName("")
	if r.Route != nil {
		route = r.Route.Name
	}
	for _, a := range t.Tries {
		o.duration("relay_upstream_seconds", a.Took, "Service", r.Service, "Result", reasonOf(a.Err))
	}
	o.duration("relay_permit_wait_seconds", t.Waited, "Service", r.Service)
	if err == nil {
		o.ended(route, pimento.OutcomeAnswered, "", t)
		o.events.Note(pimento.EventRequestAnswered, append(o.describe(r, t), "Status", status, "Replayed", t.Replayed)...)
		return
	}
	out := outcomeOf(err)
	o.ended(route, out.Outcome, out.Reason, t)
	o.events.Note(numberOf(out), append(o.describe(r, t), outcome(err)...)...)
}

// ended counts a request and its time.
func (o *observer) ended(route pimento.RouteName, outcome pimento.Outcome, reason pimento.Reason, t *forwarder.Trail) {
	o.count("relay_requests_total", "Route", route, "Outcome", outcome, "Reason", reason)
	o.duration("relay_request_seconds", time.Since(t.Began), "Route", route, "Outcome", outcome)
}

// Refused is told of requests that never had a route.
func (o *observer) Refused(r *pimento.Request, out *pimento.OutcomeError) {
	o.count("relay_requests_total", "Route", "", "Outcome", out.Outcome, "Reason", out.Reason)
	o.events.Note(numberOf(out), append([]any{"Request", r.ID, "Method", r.Method, "Host", r.Host}, outcome(out)...)...)
}

// Cut is told of answers that did not reach their callers whole.
func (o *observer) Cut(r *pimento.Request, err error) {
	o.count("relay_answers_cut_total")
	o.events.Note(pimento.EventAnswerCut, "Request", r.ID, "Cause", err)
}

// describe returns what is known of a request: where it was to go, by which
// versions of the state, and what came of each try.
func (o *observer) describe(r *pimento.Request, t *forwarder.Trail) []any {
	now := time.Now()
	out := []any{"Request", r.ID}
	if r.Route != nil {
		out = append(out, "Route", r.Route.Name, "Service", r.Service)
	} else {
		out = append(out, "Method", r.Method, "Host", r.Host)
	}
	if r.Keyed {
		out = append(out, "Key", r.Key)
	}
	out = append(out, "Manifest", t.Manifest, "Epoch", o.epoch(), "Took", round(now.Sub(t.Began)), "Waited", round(t.Waited), "Left", round(r.Deadline.Sub(now)))
	if r.Route != nil {
		out = append(out, "GoalMissed", now.After(r.GoalAt))
	}
	if len(t.Tries) > 0 {
		out = append(out, "Tries", tries(t.Tries))
	}
	return out
}

// tries describes what came of each try, in one text.
func tries(list []forwarder.Attempt) string {
	var b strings.Builder
	for i, a := range list {
		if i > 0 {
			b.WriteString("; ")
		}
		fmt.Fprintf(&b, "%s by %s (%d of %d slots, expected %s, owners %d) waited %s took %s: %s", a.Upstream, a.Basis.Dispatcher,
			a.Basis.Running, a.Basis.Slots, round(a.Basis.Expected), a.Basis.Owners, round(a.Waited), round(a.Took), reasonOf(a.Err))
	}
	return b.String()
}

func round(d time.Duration) time.Duration { return d.Round(time.Millisecond) }

// outcome returns how a request that was not answered ended.
func outcome(err error) []any {
	out := outcomeOf(err)
	pairs := []any{"Outcome", out.Outcome, "Reason", out.Reason, "Detail", out.Detail}
	if out.By != "" {
		pairs = append(pairs, "By", out.By)
	}
	if out.RetryAfter > 0 {
		pairs = append(pairs, "RetryAfter", round(out.RetryAfter))
	}
	return pairs
}

// outcomeOf returns the outcome that an error carries. An error without one
// tells nothing, so the request may have run.
func outcomeOf(err error) *pimento.OutcomeError {
	var out *pimento.OutcomeError
	if errors.As(err, &out) {
		return out
	}
	return pimento.Unknown(pimento.ReasonUpstreamLost, err.Error())
}

func numberOf(out *pimento.OutcomeError) pimento.EventNumber {
	if out.Outcome == pimento.OutcomeNotRun {
		return pimento.EventRequestNotRun
	}
	return pimento.EventRequestUnknown
}

// reasonOf returns the reason of a failed try, and Answered of another.
func reasonOf(err error) string {
	if err == nil {
		return string(pimento.OutcomeAnswered)
	}
	return string(outcomeOf(err).Reason)
}

// count adds one to a counter. Labels alternate with their values.
func (o *observer) count(name string, labels ...any) {
	o.metrics.GetOrCreateCounter(series(name, labels)).Inc()
}

// duration adds to a histogram.
func (o *observer) duration(name string, d time.Duration, labels ...any) {
	o.metrics.GetOrCreateHistogram(series(name, labels)).Update(d.Seconds())
}

// series returns the name of a metric with its labels.
func series(name string, labels []any) string {
	if len(labels) == 0 {
		return name
	}
	var b strings.Builder
	b.WriteString(name)
	for i := 0; i+1 < len(labels); i += 2 {
		sep := byte(',')
		if i == 0 {
			sep = '{'
		}
		b.WriteByte(sep)
		fmt.Fprintf(&b, "%s=%q", labels[i], fmt.Sprint(labels[i+1]))
	}
	b.WriteByte('}')
	return b.String()
}
