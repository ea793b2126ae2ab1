package forwarder

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"pimentorelay.example/pimento"
)

// customersView returns a view with a public route /p/ and another one /r/, and one customer
// for each of the keys.
func customersView(version uint64, keys ...pimento.APIKey) *View {
	m := &pimento.Manifest{Version: version, Authenticated: true, Services: []pimento.Service{{Name: "s", Sharing: pimento.SharingUnkeyed}}}
	for _, name := range []string{"r", "p"} {
		m.Routes = append(m.Routes, pimento.Route{
			Name: pimento.RouteName(name), Prefix: "/" + name + "/", Kind: pimento.RouteIdempotent, MaxAttempts: 3, Timeout: time.Second,
			Goal: time.Second, Public: name == "p", Targets: []pimento.Target{{Service: "s", Weight: 1}},
		})
	}
	for _, k := range keys {
		m.Customers = append(m.Customers, pimento.Customer{Name: "of-" + pimento.CustomerName(k), Keys: []pimento.APIKey{k}})
	}
	return NewView(m)
}

// TestAuthentication checks who may use a route, by a manifest that is certain to be the
// newest one, may be too old to refuse a key, or is too old to use one.
func TestAuthentication(t *testing.T) {
	with, without := customersView(1, "k1"), customersView(2, "k2")
	open := customersView(3)
	open.Manifest.Authenticated = false
	for _, c := range []struct {
		name       string
		path       string
		key        pimento.APIKey
		view, next *View
		currency   fakeCurrency
		customer   pimento.CustomerName
		reason     pimento.Reason
	}{
		{"known key", "/r/x", "k1", with, nil, fakeCurrency{current: true}, "of-k1", ""},
		{"unknown key", "/r/x", "k9", with, nil, fakeCurrency{current: true}, "", pimento.ReasonUnauthorized},
		{"no key", "/r/x", "", with, nil, fakeCurrency{current: true}, "", pimento.ReasonUnauthorized},
		{"no key, public", "/p/x", "", with, nil, fakeCurrency{current: true}, "", ""},
		{"unknown key, public", "/p/x", "k9", with, nil, fakeCurrency{current: true}, "", ""},
		{"known key, public", "/p/x", "k1", with, nil, fakeCurrency{current: true}, "of-k1", ""},
		{"no customers at all", "/r/x", "k9", open, nil, fakeCurrency{current: true}, "", ""},
		{"unknown key, perhaps too old", "/r/x", "k9", with, nil, fakeCurrency{state: StoreLost}, "", pimento.ReasonStaleManifest},
		{"unknown key, a newer one has it", "/r/x", "k2", with, without, fakeCurrency{state: Current}, "of-k2", ""},
		{"known key, a newer one has it no more", "/r/x", "k1", with, without, fakeCurrency{state: Current}, "", pimento.ReasonUnauthorized},
		{"known key, perhaps too old", "/r/x", "k1", with, nil, fakeCurrency{state: StoreLost}, "of-k1", ""},
		{"known key, too old", "/r/x", "k1", with, nil, fakeCurrency{state: StoreLost, keysStale: true}, "", pimento.ReasonStaleManifest},
		{"no key, public, too old", "/p/x", "", with, nil, fakeCurrency{state: StoreLost, keysStale: true}, "", ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			currency := c.currency
			currency.view, currency.next = c.view, c.next
			d := &dispatcher{steps: []step{{}}}
			f := &Forwarder{View: func() *View { return currency.view }, Dispatcher: d, Currency: &currency}
			now := time.Now()
			r := &pimento.Request{ID: "x", Method: "GET", Host: "h", Path: c.path, APIKey: c.key, ArrivedAt: now, Deadline: now.Add(time.Second)}
			_, err := f.Handle(t.Context(), r, strings.NewReader(""))
			var out *pimento.OutcomeError
			if errors.As(err, &out) {
				is.Equal(out.Reason, c.reason)
				is.Equal(out.Outcome, pimento.OutcomeNotRun)
				is.Equal(d.sent, 0)
				return
			}
			is.Equal(c.reason, pimento.Reason(""))
			is.Equal(d.sent, 1)
			is.Equal(r.Authenticated, c.view.Manifest.Authenticated)
			if c.customer == "" {
				is.True(r.Customer == nil)
			} else {
				is.Equal(r.Customer.Name, c.customer)
			}
		})
	}
}

// TestKeyTakenAwayWhileWaiting guards against a request that runs by a key that was taken
// away after it had arrived, while it waited for a permit or for a retry.
func TestKeyTakenAwayWhileWaiting(t *testing.T) {
	is := is.New(t)
	currency := &fakeCurrency{current: true, view: customersView(1, "k1")}
	f := &Forwarder{View: func() *View { return currency.view }, Currency: currency, Dispatcher: &dispatcher{steps: []step{{}}}}
	now := time.Now()
	r := &pimento.Request{ID: "x", Method: "GET", Host: "h", Path: "/r/x", APIKey: "k1", ArrivedAt: now, Deadline: now.Add(time.Second)}
	_, err := f.Handle(t.Context(), r, strings.NewReader(""))
	is.NoErr(err)
	is.NoErr(r.Check())

	currency.view = customersView(2, "k1", "k2")
	is.NoErr(r.Check())
	currency.keysStale = true
	is.Equal(reasonOf(r.Check()), pimento.ReasonStaleManifest)
	currency.keysStale = false
	currency.view = customersView(3, "k2")
	is.Equal(reasonOf(r.Check()), pimento.ReasonUnauthorized)
}

func reasonOf(err error) pimento.Reason {
	var out *pimento.OutcomeError
	if !errors.As(err, &out) {
		return ""
	}
	return out.Reason
}

// BenchmarkHandle compares a request with an API key, among 100,000 customers, with one without.
func BenchmarkHandle(b *testing.B) {
	keys := make([]pimento.APIKey, 100_000)
	for i := range keys {
		keys[i] = pimento.APIKey(fmt.Sprintf("r26tta828m82thhk%06d", i))
	}
	with, without := customersView(1, keys...), customersView(1)
	without.Manifest.Authenticated = false
	for name, view := range map[string]*View{"with a key": with, "without": without} {
		b.Run(name, func(b *testing.B) {
			f := &Forwarder{View: func() *View { return view }, Currency: &fakeCurrency{current: true}}
			for i := range b.N {
				f.Dispatcher = &dispatcher{steps: []step{{}}}
				now := time.Now()
				r := &pimento.Request{ID: "x", Method: "GET", Host: "h", Path: "/r/x", APIKey: keys[i%len(keys)], ArrivedAt: now, Deadline: now.Add(time.Second)}
				if _, err := f.Handle(b.Context(), r, http.NoBody); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
