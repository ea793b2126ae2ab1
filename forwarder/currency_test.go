package forwarder

import (
	"context"
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"pimentorelay.example/pimento"
)

// fakeCurrency says that the configuration is too old until Await, which brings the
// next one.
type fakeCurrency struct {
	state  Currentness // of Await
	next   *View       // nil: none
	view   *View
	waited time.Duration // allowed in Await; zero: it was not called

	current   bool // from the beginning
	keysStale bool // requests may not run by their API keys
}

func (c *fakeCurrency) IsCurrent(time.Time) bool { return c.current }

func (c *fakeCurrency) MayUseKeys(time.Time) bool { return !c.keysStale }

func (c *fakeCurrency) Await(_ context.Context, _ time.Time, wait time.Duration) (Currentness, time.Duration) {
	c.waited = wait
	if c.next != nil {
		c.view = c.next
	}
	if c.state == Current {
		return Current, 0
	}
	return c.state, 400 * time.Millisecond
}

// TestOldConfigurationDecidesNothing guards against refusals for good, and sending, by a
// configuration that may be too old.
func TestOldConfigurationDecidesNothing(t *testing.T) {
	route := pimento.Route{
		Name: "r", Prefix: "/r", Kind: pimento.RouteIdempotent, MaxAttempts: 1, Timeout: time.Second, Goal: time.Second,
		Targets: []pimento.Target{{Service: "s", Weight: 1}},
	}
	view := func(version uint64, keyed bool, routes ...pimento.Route) *View {
		m := &pimento.Manifest{Version: version, Routes: routes, Services: []pimento.Service{{Name: "s", Sharing: pimento.SharingUnkeyed}}}
		if keyed {
			m.Services[0].Sharing = pimento.SharingKeyed
		}
		return &View{Manifest: m, Routes: pimento.NewRouteTable(m.Routes)}
	}
	with, keyed, without := view(1, false, route), view(1, true, route), view(1, false)
	for _, c := range []struct {
		name       string
		state      Currentness
		view, next *View
		sent       bool
		reason     pimento.Reason
		maxWait    time.Duration
	}{
		{"confirmed, with a route", Current, with, nil, true, "", time.Second},
		{"confirmed, without", Current, without, nil, false, pimento.ReasonNoRoute, minRefusalWait},
		{"a newer one has the route", Current, without, with, true, "", minRefusalWait},
		{"a newer one has it no more", Current, with, without, false, pimento.ReasonNoRoute, time.Second},
		{"store lost, with a route", StoreLost, with, nil, true, "", time.Second},
		{"store lost, without", StoreLost, without, nil, false, pimento.ReasonStaleManifest, minRefusalWait},
		{"store lost, a key is missing", StoreLost, keyed, nil, false, pimento.ReasonStaleManifest, time.Second},
		{"confirmed, a key is missing", Current, keyed, nil, false, pimento.ReasonBadRequest, time.Second},
		{"undecided, with a route", Undecided, with, nil, true, "", time.Second},
		{"undecided, a key is missing", Undecided, keyed, nil, false, pimento.ReasonStaleManifest, time.Second},
		{"undecided, without", Undecided, without, nil, false, pimento.ReasonStaleManifest, minRefusalWait},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			currency := &fakeCurrency{state: c.state, view: c.view, next: c.next}
			d := &dispatcher{steps: []step{{}}}
			f := &Forwarder{View: func() *View { return currency.view }, Dispatcher: d, Currency: currency, RequireKey: true}
			now := time.Now()
			r := &pimento.Request{ID: "x", Method: "GET", Host: "h", Path: "/r/x", ArrivedAt: now, Deadline: now.Add(5 * time.Second)}
			_, err := f.Handle(t.Context(), r, strings.NewReader(""))
			is.Equal(d.sent == 1, c.sent)
			is.True(currency.waited > 0 && currency.waited <= c.maxWait)
			var out *pimento.OutcomeError
			if !errors.As(err, &out) {
				is.Equal(c.reason, pimento.Reason(""))
				return
			}
			is.Equal(out.Reason, c.reason)
			is.Equal(out.Outcome, pimento.OutcomeNotRun)
			if c.reason == pimento.ReasonStaleManifest {
				is.Equal(out.Status(), 503)
				is.Equal(out.RetryAfter, 400*time.Millisecond)
			}
		})
	}
}
