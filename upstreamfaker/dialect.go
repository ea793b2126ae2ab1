package upstreamfaker

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"pimentorelay.example/pimento"
)

// Dialect is how a wire names what all upstreams say.
type Dialect struct {
	GrantPath   string
	ReleasePath string
	HealthPath  string

	ID        string // header with the ID of a request, echoed
	Target    string // header with the only upstream that may run it
	Key       string // header with the place of its key
	Upstream  string // header with the name of the upstream that answers
	NotRun    string // header that says that a request was not run
	NotRunIs  string // its value
	Load      string
	Handover  string
	Cold      string
	Seconds   bool // times in bodies are in seconds
	FromField string
	ToField   string
	HoldField string
}

// OwnDialect is the product's own.
var OwnDialect = Dialect{
	GrantPath: "/relay/grant", ReleasePath: "/relay/release", HealthPath: "/relay/health",
	ID: pimento.HeaderRequestID, Target: pimento.HeaderUpstream, Key: pimento.HeaderPlace, Upstream: pimento.HeaderUpstream,
	NotRun: pimento.HeaderOutcome, NotRunIs: string(pimento.OutcomeNotRun), Load: pimento.HeaderLoad,
	Handover: pimento.HeaderHandover, Cold: pimento.HeaderCold,
	FromField: "From", ToField: "To", HoldField: "Hold",
}

// PlatformDialect is that of the users' platform.
var PlatformDialect = Dialect{
	GrantPath: "/pimentorelay/grant", ReleasePath: "/pimentorelay/release", HealthPath: "/healthz",
	ID: "Pimentorelay-Attempt-Id", Target: "Pimentorelay-Target-Instance", Key: "Pimentorelay-Shard-Key",
	Upstream: "Pimentorelay-Instance-Id", NotRun: "Pimentorelay-Not-Executed", NotRunIs: "1",
	Load: "Pimentorelay-Server-Load", Handover: "Pimentorelay-Handover", Cold: "Pimentorelay-Warmup-Ms", Seconds: true,
	FromField: "from", ToField: "target", HoldField: "hold_s",
}

// order is a grant or a release.
type order struct {
	pimento.KeyRange
	fence    uint64
	hold     time.Duration
	handover string
}

// readOrder reads the body of a grant or a release.
func (d Dialect) readOrder(r *http.Request) (order, error) {
	var body map[string]json.RawMessage
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		return order{}, err
	}
	var o order
	fields := map[string]any{d.FromField: &o.From, d.ToField: &o.To, d.pick("fence", "Fence"): &o.fence, d.pick("handover", "Handover"): &o.handover}
	for name, to := range fields {
		if text, ok := body[name]; ok {
			if err := json.Unmarshal(text, to); err != nil {
				return order{}, fmt.Errorf("%s: %w", name, err)
			}
		}
	}
	if text, ok := body[d.HoldField]; ok {
		hold, err := d.readSpan(text)
		if err != nil {
			return order{}, fmt.Errorf("%s: %w", d.HoldField, err)
		}
		o.hold = hold
	}
	if o.To < o.From {
		return order{}, fmt.Errorf("keys %s are no range", o.KeyRange)
	}
	return o, nil
}

// pick returns the name in the platform's case or in the product's own.
func (d Dialect) pick(platform, own string) string {
	if d.Seconds {
		return platform
	}
	return own
}

func (d Dialect) readSpan(text json.RawMessage) (time.Duration, error) {
	if d.Seconds {
		var s float64
		err := json.Unmarshal(text, &s)
		return time.Duration(s * float64(time.Second)), err
	}
	var s pimento.Span
	err := json.Unmarshal(text, &s)
	return time.Duration(s), err
}

// writeHealth sets the headers of an answer to a probe.
func (d Dialect) writeHealth(w http.ResponseWriter, name pimento.UpstreamName, load pimento.LoadReport, cold time.Duration) {
	w.Header().Set(d.Upstream, string(name))
	w.Header().Set(d.Load, loadText(load))
	if d.Seconds {
		w.Header().Set(d.Cold, strconv.FormatInt(cold.Milliseconds(), 10))
	} else {
		w.Header().Set(d.Cold, cold.String())
	}
}

func loadText(l pimento.LoadReport) string {
	return fmt.Sprintf("%d,%d,%d", l.InFlight, l.Waiting, l.Slots)
}
