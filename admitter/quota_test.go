package admitter

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"pimentorelay.example/pimento"
	"pimentorelay.example/pimento/allocator"
	"pimentorelay.example/pimento/forwarder"
	"pimentorelay.example/pimento/scheduler"
)

// newQuotaAdmitter returns a running Admitter with one upstream and a customer with a quota.
func newQuotaAdmitter(t *testing.T) (*Admitter, *pimento.Request) {
	t.Helper()
	customers := []pimento.Customer{{Name: "c", Rate: 10, Burst: 10}}
	server := pimento.Server{Name: "u", Service: "s", Slots: 4, State: pimento.StateArriving}
	a := &Admitter{Self: pimento.Process{ID: "p"}, RetryBudget: RetryBudget{RetryRatio: 0.2, RetrySlack: 10, RetryWindow: 10 * time.Second}}
	a.Update(&Snapshot{
		Sequence: 1, Services: []pimento.Service{{Name: "s", Sharing: pimento.SharingUnkeyed}}, Customers: pimento.NewCustomerTable(customers),
		Upstreams: []scheduler.Upstream{{Server: server, Usable: true}}, Pools: []pimento.Pool{{Service: "s", PreferenceList: []pimento.ProcessID{"p"}}},
	})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		a.Run(ctx)
		close(done)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	now := time.Now()
	return a, &pimento.Request{
		Service: "s", Route: &pimento.Route{Name: "r"}, Customer: &customers[0], GoalAt: now.Add(5 * time.Second), Deadline: now.Add(10 * time.Second),
	}
}

// acquireReason acquires a permit and returns why there is none.
func acquireReason(t *testing.T, a *Admitter, r *pimento.Request, attempt forwarder.AttemptState) pimento.Reason {
	t.Helper()
	_, err := a.Acquire(t.Context(), r, attempt)
	var out *pimento.OutcomeError
	if err == nil || !errors.As(err, &out) {
		return ""
	}
	if out.Outcome != pimento.OutcomeNotRun || out.RetryAfter <= 0 {
		t.Fatalf("refused with %v, retry after %s", out, out.RetryAfter)
	}
	return out.Reason
}

// TestQuotaAtTheDispatcher checks that each request spends one credit, waits for one, and is
// refused if none comes or the quota is exhausted.
func TestQuotaAtTheDispatcher(t *testing.T) {
	is := is.New(t)
	a, r := newQuotaAdmitter(t)
	first := forwarder.AttemptState{Number: 1}
	is.Equal(acquireReason(t, a, r, first), pimento.ReasonQuotaUnknown)

	a.ApplyCredits(1, 1, []allocator.Grant{{Customer: "c", Granted: 2}})
	is.Equal(acquireReason(t, a, r, first), pimento.Reason(""))
	is.Equal(acquireReason(t, a, r, first), pimento.Reason(""))
	is.Equal(a.account.Credits("c"), 0)
	is.Equal(acquireReason(t, a, r, forwarder.AttemptState{Number: 2, Charged: true}), pimento.Reason("")) // a retry spends none

	waited := make(chan pimento.Reason, 1)
	go func() { waited <- acquireReason(t, a, r, first) }()
	for a.Waiting() == 0 {
		time.Sleep(time.Millisecond)
	}
	a.ApplyCredits(1, 1, []allocator.Grant{{Customer: "c", Granted: 3}})
	is.Equal(<-waited, pimento.Reason(""))

	a.ApplyCredits(1, 1, []allocator.Grant{{Customer: "c", Granted: 3, Exhausted: true, Rate: 10}})
	is.Equal(acquireReason(t, a, r, first), pimento.ReasonQuota)
}

// TestRefusedRequestsSpendNoCredit guards against a quota that is used up by requests that no
// upstream had room for, or whose callers left while they waited.
func TestRefusedRequestsSpendNoCredit(t *testing.T) {
	is := is.New(t)
	a, r := newQuotaAdmitter(t)
	a.ApplyCredits(1, 1, []allocator.Grant{{Customer: "c", Granted: 5}})
	for range 4 { // all slots
		is.Equal(acquireReason(t, a, r, forwarder.AttemptState{Number: 1}), pimento.Reason(""))
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() {
		_, err := a.Acquire(ctx, r, forwarder.AttemptState{Number: 1})
		done <- err
	}()
	for a.Waiting() == 0 {
		time.Sleep(time.Millisecond)
	}
	cancel()
	is.True(<-done != nil)
	is.Equal(a.account.Credits("c"), 1)

	late := *r
	late.GoalAt, late.Deadline = time.Now(), time.Now().Add(30*time.Millisecond)
	is.Equal(acquireReason(t, a, &late, forwarder.AttemptState{Number: 1}), pimento.ReasonOverloaded)
	is.Equal(a.account.Credits("c"), 1)
}
