package upstreamfaker

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"pimentorelay.example/pimento"
)

// Dialect holds the paths, headers and body fields of an upstream's protocol.
type Dialect struct {
	GrantPath   string
	ReleasePath string
	HealthPath  string

	IDHeader       string // ID of the request, echoed in the answer
	TargetHeader   string // the only upstream that may run the request
	KeyHeader      string // the request's key as a number
	UpstreamHeader string // name of the upstream that answers
	NotRunHeader   string // says that the request was not run
	NotRunValue    string // value of NotRunHeader in that case
	LoadHeader     string
	HandoverHeader string
	ColdHeader     string
	LimitHeader    string
	LeavingHeader  string
	CustomerHeader string // name of the customer of the caller
	Seconds        bool   // the platform's units and field names: seconds in bodies, lower case
	FromField      string
	ToField        string
	HoldField      string
}

// OwnDialect is that of the project's own protocol.
var OwnDialect = Dialect{
	GrantPath: "/relay/grant", ReleasePath: "/relay/release", HealthPath: "/relay/health",
	IDHeader: pimento.HeaderRequestID, TargetHeader: pimento.HeaderUpstream, KeyHeader: pimento.HeaderKeyPosition, UpstreamHeader: pimento.HeaderUpstream,
	NotRunHeader: pimento.HeaderOutcome, NotRunValue: string(pimento.OutcomeNotRun), LoadHeader: pimento.HeaderLoad,
	HandoverHeader: pimento.HeaderHandover, ColdHeader: pimento.HeaderCold, LimitHeader: pimento.HeaderLimit, LeavingHeader: pimento.HeaderLeaving,
	CustomerHeader: pimento.HeaderCustomer,
	FromField:      "From", ToField: "To", HoldField: "Hold",
}

// PlatformDialect is that of the users' platform.
var PlatformDialect = Dialect{
	GrantPath: "/pimentorelay/grant", ReleasePath: "/pimentorelay/release", HealthPath: "/healthz",
	IDHeader: "Pimentorelay-Attempt-Id", TargetHeader: "Pimentorelay-Target-Instance", KeyHeader: "Pimentorelay-Shard-Key",
	UpstreamHeader: "Pimentorelay-Instance-Id", NotRunHeader: "Pimentorelay-Not-Executed", NotRunValue: "1",
	LoadHeader: "Pimentorelay-Server-Load", HandoverHeader: "Pimentorelay-Handover", ColdHeader: "Pimentorelay-Warmup-Ms", LimitHeader: "Server-Limit", LeavingHeader: "Server-Leaving", Seconds: true,
	CustomerHeader: "Pimentorelay-Tenant",
	FromField:      "from", ToField: "target", HoldField: "hold_s",
}

// keysRequest is the body of a grant or a release.
type keysRequest struct {
	pimento.KeyRange
	fence    uint64
	hold     time.Duration
	handover string
}

// readKeysRequest decodes the body of a grant or a release.
func (d Dialect) readKeysRequest(r *http.Request) (keysRequest, error) {
	var body map[string]json.RawMessage
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		return keysRequest{}, err
	}
	var req keysRequest
	fields := map[string]any{d.FromField: &req.From, d.ToField: &req.To, d.fieldName("fence", "Fence"): &req.fence, d.fieldName("handover", "Handover"): &req.handover}
	for name, dest := range fields {
		if text, ok := body[name]; ok {
			if err := json.Unmarshal(text, dest); err != nil {
				return keysRequest{}, fmt.Errorf("%s: %w", name, err)
			}
		}
	}
	if text, ok := body[d.HoldField]; ok {
		hold, err := d.readSpan(text)
		if err != nil {
			return keysRequest{}, fmt.Errorf("%s: %w", d.HoldField, err)
		}
		req.hold = hold
	}
	if req.To < req.From {
		return keysRequest{}, fmt.Errorf("keys %s are no range", req.KeyRange)
	}
	return req, nil
}

// fieldName returns the name of a body field in this dialect.
func (d Dialect) fieldName(platform, own string) string {
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

// writeHealth sets the headers of an answer to a health check.
func (d Dialect) writeHealth(w http.ResponseWriter, name pimento.UpstreamName, load pimento.LoadReport, cold time.Duration) {
	w.Header().Set(d.UpstreamHeader, string(name))
	w.Header().Set(d.LoadHeader, formatLoad(load))
	if d.Seconds {
		w.Header().Set(d.ColdHeader, strconv.FormatInt(cold.Milliseconds(), 10))
	} else {
		w.Header().Set(d.ColdHeader, cold.String())
	}
}

func formatLoad(l pimento.LoadReport) string {
	return fmt.Sprintf("%d,%d,%d", l.InFlight, l.Waiting, l.Slots)
}
