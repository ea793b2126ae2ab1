package router

import (
	"errors"
	"fmt"
	"strings"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"pimentorelay.example/pimento"
	"pimentorelay.example/pimento/avoider"
	"pimentorelay.example/pimento/forwarder"
	"pimentorelay.example/pimento/limiter"
	"pimentorelay.example/pimento/quarantiner"
	"pimentorelay.example/pimento/recorder"
	"pimentorelay.example/pimento/timekeeper"
)

// observer logs requests and records their metrics.
type observer struct {
	events  *recorder.Recorder
	metrics *metrics.Set
	epoch   func() uint64 // of the latest known term
	// manifestReadAt and manifestVouchedAt return when the store was last read for a
	// manifest, and when the leader last announced no newer one; zero: never.
	manifestReadAt, manifestVouchedAt func() time.Time
	// manifestConfirmedAt returns when the manifest in force was certainly the newest,
	// on the clock of timekeeper; zero: never.
	manifestConfirmedAt func() time.Time

	customers    customerCounts
	usedManifest atomic.Uint64 // latest version under which a request has ended
}

var _ forwarder.Observer = (*observer)(nil)

// Retried implements forwarder.Observer.
func (o *observer) Retried(r *pimento.Request, t *forwarder.Trace, err error) {
	o.count("relay_repeats_total", "Route", r.Route.Name, "Reason", reasonOf(err))
	o.events.LogOnly(pimento.EventRequestRepeated, append(o.requestAttributes(r, t), outcomeAttributes(err)...)...)
}

// Ended implements forwarder.Observer.
func (o *observer) Ended(r *pimento.Request, t *forwarder.Trace, status int, err error) {
	o.reportUse(r, t)
	o.customers.add(r, err)
	route := pimento.RouteName("")
	if r.Route != nil {
		route = r.Route.Name
	}
	for _, a := range t.Attempts {
		o.observeDuration("relay_upstream_seconds", a.Took, "Service", r.Service, "Result", reasonOf(a.Err))
	}
	o.observeDuration("relay_permit_wait_seconds", t.Waited, "Service", r.Service)
	if err == nil {
		o.countRequest(route, pimento.OutcomeAnswered, "", t)
		o.events.LogOnly(pimento.EventRequestAnswered, append(o.requestAttributes(r, t), "Status", status, "Replayed", t.Replayed)...)
		return
	}
	out := outcomeOf(err)
	o.countRequest(route, out.Outcome, out.Reason, t)
	o.events.LogOnly(eventNumber(out), append(o.requestAttributes(r, t), outcomeAttributes(err)...)...)
}

// reportUse reports the first request that was handled under a version of the
// manifest.
func (o *observer) reportUse(r *pimento.Request, t *forwarder.Trace) {
	used := o.usedManifest.Load()
	if t.Manifest > used && o.usedManifest.CompareAndSwap(used, t.Manifest) {
		o.events.Emit(pimento.EventManifestUsed, "Version", t.Manifest, "Request", r.ID, "Began", roundToMillis(time.Since(t.StartedAt)))
	}
}

// The results of decoding a manifest.
const (
	manifestAdopted = "Adopted"
	manifestOld     = "Old"
	manifestInvalid = "Invalid"
)

// manifestDecoded records the decoding of a manifest.
func (o *observer) manifestDecoded(result string, took time.Duration) {
	o.observeDuration("relay_manifest_decode_seconds", took, "Result", result)
}

// maxNotes bounds the notes on a manifest that are logged.
const maxNotes = 20

// manifestNotes logs the values of a manifest that are not known, in one line.
func (o *observer) manifestNotes(m *pimento.Manifest) {
	if len(m.Notes) == 0 {
		return
	}
	texts := make([]string, 0, maxNotes)
	for _, n := range m.Notes[:min(len(m.Notes), maxNotes)] {
		texts = append(texts, n.Error())
	}
	o.events.Emit(pimento.EventManifestNotes, "Version", m.Version, "Count", len(m.Notes), "Notes", strings.Join(texts, "; "))
}

// stateSent records a state that was sent to another process.
func (o *observer) stateSent(manifestBytes int, took time.Duration, err error) {
	result := "Confirmed"
	if err != nil {
		result = "NotConfirmed"
	}
	o.observeDuration("relay_state_send_seconds", took, "Result", result)
	if manifestBytes > 0 {
		o.count("relay_manifests_sent_total", "Result", result)
		o.metrics.GetOrCreateCounter("relay_manifest_sent_bytes_total").Add(manifestBytes)
	}
}

// leaderDelay returns a function that records how long a message waited for the loop of
// package leader.
func (o *observer) leaderDelay() func(time.Duration) {
	h := o.metrics.GetOrCreateHistogram("relay_leader_wait_seconds")
	return func(waited time.Duration) { h.Update(waited.Seconds()) }
}

// limitChanged logs and records a change of the limit of an upstream.
func (o *observer) limitChanged(c limiter.Change) {
	gauge := metricName("relay_upstream_limit", []any{"Upstream", c.Upstream})
	switch {
	case c.Invalid != "":
		o.events.Emit(pimento.EventLimitInvalid, "Upstream", c.Upstream, "Value", c.Invalid)
	case c.Ended:
		o.metrics.UnregisterMetric(gauge)
		o.events.Emit(pimento.EventLimitEnded, "Upstream", c.Upstream)
	default:
		o.metrics.GetOrCreateGauge(gauge, nil).Set(float64(c.Rate))
		o.events.Emit(pimento.EventLimitNamed, "Upstream", c.Upstream, "Rate", float64(c.Rate))
	}
}

// noticeChanged logs and counts what answers have said of requests to come.
func (o *observer) noticeChanged(c avoider.Change) {
	o.count("relay_upstream_notices_total", "Kind", c.Kind)
	switch c.Kind {
	case avoider.ChangeLeaving:
		o.events.Emit(pimento.EventLeavingNamed, "Upstream", c.Run.Upstream)
	case avoider.ChangePaused:
		o.events.Emit(pimento.EventPauseNamed, "Upstream", c.Run.Upstream, "For", roundToMillis(c.Until.Sub(timekeeper.Now())))
	case avoider.ChangeEnded:
		o.events.Emit(pimento.EventPauseEnded, "Upstream", c.Run.Upstream)
	case avoider.ChangeInvalid:
		o.events.Emit(pimento.EventPauseInvalid, "Upstream", c.Run.Upstream, "Value", c.Invalid)
	}
}

// crashFound logs and records a finding about a request that may crash upstreams.
// Broken connections that count for nothing are not kept on the timeline.
func (o *observer) crashFound(f quarantiner.Finding) {
	o.count("relay_crash_findings_total", "Kind", f.Kind, "Evidence", f.Evidence)
	attributes := []any{"Fingerprint", fmt.Sprintf("%016x", uint64(f.Fingerprint)), "Evidence", f.Evidence, "Crashes", f.Count}
	if f.Run.Upstream != "" {
		attributes = append(attributes, "Upstream", f.Run.Upstream, "Started", f.Run.StartedAt(), "After", roundToMillis(f.After))
	}
	switch f.Kind {
	case quarantiner.FindingCounted:
		o.events.Emit(pimento.EventCrashCounted, attributes...)
	case quarantiner.FindingRefused:
		o.events.Emit(pimento.EventRequestRefused, attributes...)
	default:
		o.events.LogOnly(pimento.EventCrashDropped, append(attributes, "Kind", f.Kind)...)
	}
}

// countRequest records the outcome and duration of a request.
func (o *observer) countRequest(route pimento.RouteName, outcome pimento.Outcome, reason pimento.Reason, t *forwarder.Trace) {
	o.count("relay_requests_total", "Route", route, "Outcome", outcome, "Reason", reason)
	o.observeDuration("relay_request_seconds", time.Since(t.StartedAt), "Route", route, "Outcome", outcome)
}

// Refused logs and counts a request that ended before it had a route.
func (o *observer) Refused(r *pimento.Request, out *pimento.OutcomeError) {
	o.count("relay_requests_total", "Route", "", "Outcome", out.Outcome, "Reason", out.Reason)
	o.events.LogOnly(eventNumber(out), append([]any{"Request", r.ID, "Method", r.Method, "Host", r.Host}, outcomeAttributes(out)...)...)
}

// callerEvicted logs and counts a connection that was closed because it took most of the memory
// for callers.
func (o *observer) callerEvicted(used int64) {
	o.count("relay_callers_closed_total", "Reason", "Memory")
	o.events.LogOnly(pimento.EventCallerClosed, "Reason", "Memory", "Bytes", used)
}

// connectionReplaced logs and counts a connection that was closed, or refused, since there were
// too many.
func (o *observer) connectionReplaced() {
	o.count("relay_callers_closed_total", "Reason", "Connections")
	o.events.LogOnly(pimento.EventCallerClosed, "Reason", "Connections")
}

// AnswerCut logs and counts an answer that did not reach its caller in full.
func (o *observer) AnswerCut(r *pimento.Request, err error) {
	o.count("relay_answers_cut_total")
	o.events.LogOnly(pimento.EventAnswerCut, "Request", r.ID, "Cause", err)
}

// requestAttributes returns the log attributes of a request: its route, the
// versions of the state, its times and its attempts.
func (o *observer) requestAttributes(r *pimento.Request, t *forwarder.Trace) []any {
	now := time.Now()
	out := []any{"Request", r.ID}
	if r.Route != nil {
		out = append(out, "Route", r.Route.Name, "Service", r.Service)
	} else {
		out = append(out, "Method", r.Method, "Host", r.Host)
		out = append(out, "Read", pimento.Age(now, o.manifestReadAt()), "Vouched", pimento.Age(now, o.manifestVouchedAt()),
			"Confirmed", pimento.Age(timekeeper.Now(), o.manifestConfirmedAt()))
	}
	if r.Keyed {
		out = append(out, "Key", r.Key)
	}
	switch {
	case r.Customer != nil:
		out = append(out, "Customer", r.Customer.Name)
	case r.Route == nil && r.APIKey != "":
		out = append(out, "APIKey", r.APIKey.Fingerprint())
	}
	out = append(out, "Manifest", t.Manifest, "Epoch", o.epoch(), "Took", roundToMillis(now.Sub(t.StartedAt)), "Waited", roundToMillis(t.Waited), "Left", roundToMillis(r.Deadline.Sub(now)))
	if r.Route != nil {
		out = append(out, "GoalMissed", now.After(r.GoalAt))
	}
	if len(t.Attempts) > 0 {
		out = append(out, "Tries", formatAttempts(t.Attempts))
	}
	return out
}

// formatAttempts describes the attempts and their results in one text.
func formatAttempts(list []forwarder.Attempt) string {
	var b strings.Builder
	for i, a := range list {
		if i > 0 {
			b.WriteString("; ")
		}
		fmt.Fprintf(&b, "%s by %s (%d of %d slots, expected %s, owners %d, upstreams %s) waited %s took %s: %s", a.Upstream, a.Basis.Dispatcher,
			a.Basis.Running, a.Basis.Slots, roundToMillis(a.Basis.Expected), a.Basis.Owners, roundToMillis(a.Basis.UpstreamsAge), roundToMillis(a.Waited), roundToMillis(a.Took), reasonOf(a.Err))
	}
	return b.String()
}

func roundToMillis(d time.Duration) time.Duration { return d.Round(time.Millisecond) }

// outcomeAttributes returns the log attributes of a request that failed with err.
func outcomeAttributes(err error) []any {
	out := outcomeOf(err)
	pairs := []any{"Outcome", out.Outcome, "Reason", out.Reason, "Detail", out.Detail}
	if out.By != "" {
		pairs = append(pairs, "By", out.By)
	}
	if out.RetryAfter > 0 {
		pairs = append(pairs, "RetryAfter", roundToMillis(out.RetryAfter))
	}
	return pairs
}

// outcomeOf returns the *pimento.OutcomeError in err. Any other error leaves open
// whether the request ran, so its outcome is Unknown.
func outcomeOf(err error) *pimento.OutcomeError {
	var out *pimento.OutcomeError
	if errors.As(err, &out) {
		return out
	}
	return pimento.Unknown(pimento.ReasonUpstreamLost, err.Error())
}

func eventNumber(out *pimento.OutcomeError) pimento.EventNumber {
	if out.Outcome == pimento.OutcomeNotRun {
		return pimento.EventRequestNotRun
	}
	return pimento.EventRequestUnknown
}

// reasonOf returns the reason of a failed attempt, or Answered if err is nil.
func reasonOf(err error) string {
	if err == nil {
		return string(pimento.OutcomeAnswered)
	}
	return string(outcomeOf(err).Reason)
}

// count increments a counter. Labels alternate with their values.
func (o *observer) count(name string, labels ...any) {
	o.metrics.GetOrCreateCounter(metricName(name, labels)).Inc()
}

// observeDuration adds a duration, in seconds, to a histogram.
func (o *observer) observeDuration(name string, d time.Duration, labels ...any) {
	o.metrics.GetOrCreateHistogram(metricName(name, labels)).Update(d.Seconds())
}

// metricName returns the name of a metric with its labels.
func metricName(name string, labels []any) string {
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
