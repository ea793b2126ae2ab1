package assembler_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"pimentorelay.example/pimento"
	"pimentorelay.example/pimento/assembler"
	"pimentorelay.example/pimento/sender"
	"pimentorelay.example/pimento/storefaker"
	"pimentorelay.example/pimento/surveyor"
	"pimentorelay.example/pimento/upstreamfaker"
)

const (
	customerPath = "/connection%20refused/order"
	publicPath   = "/open/read"
)

// startWithCustomers starts a deployment with the customers "shop" and "club" and a category
// that is open to all.
func startWithCustomers(t *testing.T) *assembler.Deployment {
	t.Helper()
	d := &assembler.Deployment{Config: smallConfig(t), Entries: 5, Work: time.Millisecond, Warm: true, Bounds: pimento.DefaultBounds()}
	configureCustomers(d)
	if err := d.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Stop)
	applyConfig(t, d)
	return d
}

// configureCustomers adds the customers and the category to a deployment before its start.
func configureCustomers(d *assembler.Deployment) {
	d.Bounds.Revocation, d.Bounds.QuotaOvershoot, d.Bounds.QuotaSlack = 3*time.Second, 0.1, 20
	d.Config.Customers = []pimento.Customer{
		{Name: "shop", Keys: []pimento.APIKey{"shop-1", "shop-2"}},
		{Name: "club", Keys: []pimento.APIKey{"club-1"}, Rate: 20, Burst: 20},
	}
	d.Config.Categories = append(d.Config.Categories, pimento.Category{Name: "open", Service: "partsdesk", Public: true})
}

// send sends a read with an API key once, and returns its status and reason.
func send(t *testing.T, url string, key pimento.APIKey, id string) (int, pimento.Reason) {
	t.Helper()
	_, err := sender.Send(t.Context(), sender.Request{Method: http.MethodGet, URL: url, APIKey: key, ID: id, Timeout: time.Second})
	var refused *sender.RefusedError
	switch {
	case err == nil:
		return http.StatusOK, ""
	case errors.As(err, &refused):
		return refused.Status, refused.Reason
	}
	return 0, ""
}

// journal returns the runs of all upstreams of a service.
func journal(d *assembler.Deployment, service pimento.ServiceName) []upstreamfaker.Run {
	var out []upstreamfaker.Run
	for _, s := range d.Config.Servers {
		if s.Service == service {
			out = append(out, d.Upstreams[s.Name].Journal()...)
		}
	}
	return out
}

// TestCustomersAtUpstreams checks who is served, and that upstreams get the name of the
// customer, whatever the caller has sent, and never an API key.
func TestCustomersAtUpstreams(t *testing.T) {
	is := is.New(t)
	d := startWithCustomers(t)
	for _, c := range []struct {
		path   string
		key    pimento.APIKey
		status int
	}{
		{customerPath, "shop-1", 200}, {customerPath, "shop-2", 200}, {customerPath, "none", 401}, {customerPath, "", 401},
		{publicPath, "", 200}, {publicPath, "none", 200},
	} {
		status, _ := send(t, d.URL(0)+c.path, c.key, "")
		is.Equal(status, c.status)
	}
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, d.URL(1)+customerPath, nil)
	is.NoErr(err)
	req.Header.Set("Authorization", "bearer club-1")
	req.Header.Set(pimento.HeaderCustomer, "shop")
	res, err := http.DefaultClient.Do(req)
	is.NoErr(err)
	res.Body.Close()
	is.Equal(res.StatusCode, 200)

	counts := make(map[pimento.CustomerName]int)
	for _, r := range journal(d, "partsdesk") {
		is.True(!r.HasAPIKey)
		counts[r.Customer]++
	}
	is.Equal(counts, map[pimento.CustomerName]int{"shop": 2, "club": 1, "": 2})
}

// TestKeyTakenAway checks that a key that was taken away is not used after the bound, and one
// that was added is, at every process; and, where the store has fallen silent before, that
// no key at all is used once no process can know better.
func TestKeyTakenAway(t *testing.T) {
	is := is.New(t)
	d := startWithCustomers(t)
	d.Config.Customers[0].Keys = []pimento.APIKey{"shop-2", "shop-3"}
	version, err := d.Apply(t.Context(), d.Config)
	is.NoErr(err)
	is.NoErr(d.AwaitReady(version, readyTimeout))
	time.Sleep(d.Bounds.Revocation)
	for i := range 5 {
		status, _ := send(t, d.URL(i)+customerPath, "shop-1", "")
		is.Equal(status, 401)
		status, _ = send(t, d.URL(i)+customerPath, "shop-3", "")
		is.Equal(status, 200)
	}

	d.Store.Inject(storefaker.Faults{Outage: storefaker.OutageSilent})
	cutAt := time.Now()
	time.Sleep(d.Bounds.Revocation)
	for i := range 5 {
		status, reason := send(t, d.URL(i)+customerPath, "shop-2", "")
		is.Equal(status, 503)
		is.Equal(reason, pimento.ReasonStaleManifest)
		status, _ = send(t, d.URL(i)+publicPath, "", "")
		is.Equal(status, 200)
	}
	for _, r := range journal(d, "partsdesk") {
		is.True(r.Customer == "" || r.Started.Sub(cutAt) < d.Bounds.Revocation)
	}
}

// TestRevokedKeyInARestoredStore checks that a key that was taken away stays so if the store
// comes back from a copy in which it is in force, at running processes and at a new one.
func TestRevokedKeyInARestoredStore(t *testing.T) {
	const copyMargin = 200 * time.Millisecond
	is := is.New(t)
	d := startWithCustomers(t)
	time.Sleep(2 * copyMargin) // the copy is of between the two versions
	revokedAt := time.Now()
	d.Config.Customers[0].Keys = []pimento.APIKey{"shop-2"}
	version, err := d.Apply(t.Context(), d.Config)
	is.NoErr(err)
	is.NoErr(d.AwaitReady(version, readyTimeout))

	d.Store.Restore(storefaker.Copy{Age: pimento.Span(time.Since(revokedAt) + copyMargin)})
	object, ok := d.Store.Object(string(surveyor.KindConfig), surveyor.ConfigName)
	is.True(ok)
	is.True(strings.Contains(string(object.Spec), "shop-1")) // the copy is as old as it should be
	_, err = d.StartEntry("d0")
	is.NoErr(err)
	served := make(map[int]int) // requests with the other key, by process
	for start := time.Now(); time.Since(start) < d.Bounds.Revocation; time.Sleep(50 * time.Millisecond) {
		for i := range 6 {
			status, _ := send(t, d.URL(i)+customerPath, "shop-1", "")
			if status != http.StatusUnauthorized && status != http.StatusServiceUnavailable {
				t.Fatalf("process %d answers %d to a key that was taken away, %s after the store was restored", i, status, time.Since(start))
			}
			if status, _ = send(t, d.URL(i)+customerPath, "shop-2", ""); status == http.StatusOK {
				served[i]++
			}
		}
	}
	t.Logf("served with the key in force: %v", served)
	is.Equal(len(served), 6)
}

// TestQueuedRequestsOfACutProcess checks a process that loses the store and all others while
// more requests come than its upstreams can run: none that is sent once its keys may have been
// taken away runs, whatever waits before it.
func TestQueuedRequestsOfACutProcess(t *testing.T) {
	is := is.New(t)
	d := &assembler.Deployment{Config: smallConfig(t), Entries: 5, Work: 800 * time.Millisecond, Warm: true, Bounds: pimento.DefaultBounds()}
	configureCustomers(d)
	is.NoErr(d.Start())
	t.Cleanup(d.Stop)
	applyConfig(t, d)
	last := leadingEntry(d)
	is.True(last >= 0)
	cutAt := time.Now()
	d.Store.Inject(storefaker.Faults{Outage: storefaker.OutageSilent})
	for i := range 5 {
		if i != last {
			d.Entry(i).Kill()
		}
	}
	var mu sync.Mutex
	sentAt := make(map[string]time.Time)
	statuses := make(map[int]int)
	var requests sync.WaitGroup
	for n := 0; time.Since(cutAt) < 2*d.Bounds.Revocation; n++ {
		requests.Go(func() {
			id, at := fmt.Sprint("read-", n), time.Now()
			status := readOnce(t, d.URL(last)+customerPath, "shop-1", id, d.Bounds.Revocation)
			mu.Lock()
			defer mu.Unlock()
			sentAt[id] = at
			statuses[status]++
		})
		time.Sleep(20 * time.Millisecond)
	}
	requests.Wait()
	runs, late := 0, time.Duration(0)
	for _, r := range journal(d, "partsdesk") {
		at, ok := sentAt[r.ID]
		is.True(ok)
		is.True(at.Sub(cutAt) < d.Bounds.Revocation)
		late = max(late, r.Started.Sub(cutAt))
		runs++
	}
	t.Logf("%d requests, %d runs, the last %s after the cut; %v", len(sentAt), runs, late, statuses)
	is.True(statuses[http.StatusOK] > 0)
	is.True(statuses[http.StatusServiceUnavailable] > 0)
}

// readOnce sends a read that is not sent again, and returns the status of the answer, zero if
// there is none.
func readOnce(t *testing.T, url string, key pimento.APIKey, id string, timeout time.Duration) int {
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, url, nil)
	if err != nil {
		return 0
	}
	req.Header.Set(pimento.HeaderAuthorization, "Bearer "+string(key))
	req.Header.Set(pimento.HeaderIdempotencyKey, id)
	req.Header.Set(pimento.HeaderTimeout, timeout.String())
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0
	}
	defer res.Body.Close()
	if _, err := io.Copy(io.Discard, res.Body); err != nil {
		return 0
	}
	return res.StatusCode
}

// flood sends reads of a customer through all entries, in each pause one, until ctx ends.
func flood(ctx context.Context, d *assembler.Deployment, entries []int, key pimento.APIKey, pause time.Duration) *floodResult {
	f := &floodResult{statuses: make(map[int]int)}
	for i := range entries {
		f.wg.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				r := sender.Request{Method: http.MethodGet, URL: d.URL(entries[i]) + customerPath, APIKey: key, Timeout: 700 * time.Millisecond}
				_, err := sender.Send(ctx, r)
				var refused *sender.RefusedError
				status := http.StatusOK
				if errors.As(err, &refused) {
					status = refused.Status
				} else if err != nil {
					status = 0
				}
				f.mu.Lock()
				f.statuses[status]++
				f.mu.Unlock()
				time.Sleep(pause)
			}
		})
	}
	return f
}

// floodResult counts the answers to a flood by their statuses.
type floodResult struct {
	wg       sync.WaitGroup
	mu       sync.Mutex
	statuses map[int]int
}

// TestQuotaOverAllProcesses sends many times the quota of a customer through all processes,
// while their leader is killed, and checks the runs of any span of time and that another
// customer is served.
func TestQuotaOverAllProcesses(t *testing.T) {
	is := is.New(t)
	d := startWithCustomers(t)
	leader := leadingEntry(d)
	is.True(leader >= 0)
	var others []int
	for i := range 5 {
		if i != leader {
			others = append(others, i)
		}
	}
	ctx, cancel := context.WithCancel(t.Context())
	hot := flood(ctx, d, slices.Concat(others, others, others, others), "club-1", 10*time.Millisecond)
	usual := flood(ctx, d, others, "shop-1", 50*time.Millisecond)
	time.Sleep(5 * time.Second)
	d.Entry(leader).Kill()
	time.Sleep(7 * time.Second)
	cancel()
	hot.wg.Wait()
	usual.wg.Wait()

	var started []time.Time
	for _, r := range journal(d, "partsdesk") {
		if r.Customer == "club" {
			started = append(started, r.Started)
		}
	}
	slices.SortFunc(started, time.Time.Compare)
	b := d.Bounds
	allowed := (20*b.QuotaWindow.Seconds()+20)*(1+b.QuotaOvershoot) + b.QuotaSlack
	first, most := 0, 0
	for i, at := range started {
		for at.Sub(started[first]) >= b.QuotaWindow {
			first++
		}
		most = max(most, i-first+1)
	}
	t.Logf("%d runs, at most %d in a window, %.0f allowed; hot %v, usual %v", len(started), most, allowed, hot.statuses, usual.statuses)
	is.True(float64(most) <= allowed)
	is.True(hot.statuses[http.StatusTooManyRequests] > 0)
	is.True(hot.statuses[http.StatusOK] > 0)
	is.Equal(usual.statuses[http.StatusTooManyRequests], 0)
	is.True(usual.statuses[http.StatusOK] > 0)
}

// TestRecordsOfCustomersAreApart guards against a customer that gets the answer to a request
// of another one with the same ID.
func TestRecordsOfCustomersAreApart(t *testing.T) {
	is := is.New(t)
	d := startWithCustomers(t)
	for _, key := range []pimento.APIKey{"shop-1", "club-1", "shop-2"} {
		_, err := sender.Send(t.Context(), sender.Request{
			Method: http.MethodPost, URL: d.URL(0) + customerPath, APIKey: key, ID: "order-1", Body: []byte(fmt.Sprint("of ", key[:4])),
		})
		is.NoErr(err)
	}
	counts := make(map[pimento.CustomerName]int)
	for _, r := range journal(d, "partsdesk") {
		counts[r.Customer]++
	}
	is.Equal(counts, map[pimento.CustomerName]int{"shop": 1, "club": 1})
}
