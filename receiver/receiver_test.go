package receiver

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	"github.com/matryer/is"

	"pimentorelay.example/pimento"
	"pimentorelay.example/pimento/deduper"
	"pimentorelay.example/pimento/recorder"
)

// fakes are the parts of a receiver. Each try of a request gets the next of
// the results, the last one again and again.
type fakes struct {
	self    pimento.Process
	results []error
	tries   []pimento.RequestHead
	body    string
}

func (f *fakes) Config() (*pimento.Config, bool) {
	return &pimento.Config{
		Categories: []pimento.Category{{Name: "TIMEOUT 504", Service: "guidebook"}, {Name: `refused, "вчера"`, Service: "partsdesk"}},
		Services:   []pimento.Service{{Name: "guidebook", Sharing: pimento.SharingKeyed}, {Name: "partsdesk", Sharing: pimento.SharingUnkeyed}},
	}, true
}

func (f *fakes) Route(*pimento.RequestHead) (pimento.Process, bool) { return f.self, true }

func (f *fakes) Serve(_ context.Context, _ pimento.ProcessID, head pimento.RequestHead, _ pimento.Witnessing, body pimento.Body) (pimento.Answer, error) {
	f.tries = append(f.tries, head)
	data, err := io.ReadAll(body.Reader())
	if err != nil {
		return pimento.Answer{}, pimento.Unknown(pimento.ReasonBodyCut, err.Error())
	}
	f.body = string(data)
	if n := len(f.results); n > 0 {
		if err := f.results[min(len(f.tries), n)-1]; err != nil {
			return pimento.Answer{}, err
		}
	}
	return pimento.Answer{Head: pimento.AnswerHead{ID: head.ID, Status: http.StatusOK, BodyLength: -1}, Body: io.NopCloser(strings.NewReader("answer"))}, nil
}

func newReceiver(f *fakes) *Receiver {
	f.self = pimento.Process{ID: "entry"}
	return &Receiver{Self: f.self, Router: f, Local: f, Book: &deduper.Book{}, Events: &recorder.Recorder{}, Meter: &Meter{Set: metrics.NewSet()}}
}

// cutBody fails after a few bytes.
type cutBody struct{ read bool }

func (c *cutBody) Read(p []byte) (int, error) {
	if c.read {
		return 0, errors.New("connection reset")
	}
	c.read = true
	return copy(p, "half"), nil
}

func TestFaultyRequests(t *testing.T) {
	long := strings.Repeat("x", 2000)
	cases := []struct {
		name    string
		path    string
		header  map[string]string
		body    io.Reader
		status  int
		outcome pimento.Outcome
		reason  pimento.Reason
	}{
		{"unknown category", "/nothing/x", nil, nil, http.StatusNotFound, pimento.OutcomeNotRun, pimento.ReasonNoRoute},
		{"no key", "/TIMEOUT%20504/x", nil, nil, http.StatusBadRequest, pimento.OutcomeNotRun, pimento.ReasonBadRequest},
		{"key too long", "/TIMEOUT%20504/x", map[string]string{"Relay-Key": long}, nil, http.StatusBadRequest, pimento.OutcomeNotRun, pimento.ReasonBadRequest},
		{"ID too long", "/TIMEOUT%20504/x", map[string]string{"Relay-Key": "k", "Idempotency-Key": long}, nil, http.StatusBadRequest, pimento.OutcomeNotRun, pimento.ReasonBadRequest},
		{"no duration", "/TIMEOUT%20504/x", map[string]string{"Relay-Key": "k", "Relay-Timeout": "soon"}, nil, http.StatusBadRequest, pimento.OutcomeNotRun, pimento.ReasonBadRequest},
		{"negative duration", "/TIMEOUT%20504/x", map[string]string{"Relay-Key": "k", "Relay-Timeout": "-1s"}, nil, http.StatusBadRequest, pimento.OutcomeNotRun, pimento.ReasonBadRequest},
		{"body cut by the caller", "/TIMEOUT%20504/x", map[string]string{"Relay-Key": "k"}, &cutBody{}, http.StatusBadRequest, pimento.OutcomeNotRun, pimento.ReasonBodyCut},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := &fakes{}
			w := httptest.NewRecorder()
			req := httptest.NewRequest("POST", c.path, c.body)
			for name, value := range c.header {
				req.Header.Set(name, value)
			}
			newReceiver(f).ServeHTTP(w, req)
			is.Equal(w.Code, c.status)
			is.Equal(w.Header().Get(pimento.HeaderOutcome), string(c.outcome))
			is.Equal(w.Header().Get(pimento.HeaderReason), string(c.reason))
			is.Equal(len(f.tries), 0) // it did not run
		})
	}
}

func TestRetries(t *testing.T) {
	cases := []struct {
		name    string
		method  string
		id      string
		results []error
		tries   int
		outcome pimento.Outcome
	}{
		{"not run, then answered", "POST", "", []error{pimento.NotRun(pimento.ReasonNotHolder, ""), nil}, 2, pimento.OutcomeAnswered},
		{"read that may have run", "GET", "", []error{pimento.Unknown(pimento.ReasonUpstreamLost, ""), nil}, 2, pimento.OutcomeAnswered},
		{"order that may have run", "POST", "o", []error{pimento.Unknown(pimento.ReasonUpstreamLost, ""), nil}, 1, pimento.OutcomeUnknown},
		{"order whose dispatcher is gone", "POST", "o", []error{pimento.Unknown(pimento.ReasonPeerLost, ""), nil}, 2, pimento.OutcomeAnswered},
		{"order without an ID whose dispatcher is gone", "POST", "", []error{pimento.Unknown(pimento.ReasonPeerLost, ""), nil}, 1, pimento.OutcomeUnknown},
		{"read that never ends well", "GET", "", []error{pimento.Unknown(pimento.ReasonUpstreamLost, "")}, 1 + maxUnknown, pimento.OutcomeUnknown},
		{"full queue", "GET", "", []error{pimento.NotRun(pimento.ReasonQueueFull, ""), nil}, 1, pimento.OutcomeNotRun},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := &fakes{results: c.results}
			w := httptest.NewRecorder()
			req := httptest.NewRequest(c.method, "/TIMEOUT%20504/x?page=2", strings.NewReader("body"))
			req.Header.Set("Relay-Key", "k")
			req.Header.Set("Idempotency-Key", c.id)
			newReceiver(f).ServeHTTP(w, req)
			is.Equal(len(f.tries), c.tries)
			is.Equal(w.Header().Get(pimento.HeaderOutcome), string(c.outcome))
			is.Equal(f.body, "body") // whole, each time
			is.Equal(f.tries[0].Path, "/x?page=2")
		})
	}
}

func TestCategoryIsNeverInterpreted(t *testing.T) {
	is := is.New(t)
	f := &fakes{}
	w := httptest.NewRecorder()
	newReceiver(f).ServeHTTP(w, httptest.NewRequest("GET", "/refused%2C%20%22%D0%B2%D1%87%D0%B5%D1%80%D0%B0%22/a%2Fb", nil))
	is.Equal(w.Code, http.StatusOK)
	is.Equal(f.tries[0].Service, pimento.ServiceName("partsdesk"))
	is.Equal(f.tries[0].Path, "/a%2Fb")
}

func TestCallersCannotSetOurHeaders(t *testing.T) {
	is := is.New(t)
	f := &fakes{}
	req := httptest.NewRequest("GET", "/TIMEOUT%20504/x", nil)
	req.Header.Set("Relay-Key", "k")
	req.Header.Set("Relay-Fence", "99")
	req.Header.Set("Relay-Outcome", "Answered")
	req.Header.Set("X-Idempotency-Key", "z")
	req.Header.Set("Accept", "text/plain")
	newReceiver(f).ServeHTTP(httptest.NewRecorder(), req)
	is.Equal(f.tries[0].Header, http.Header{"Accept": {"text/plain"}})
}
