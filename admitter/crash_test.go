package admitter

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"pimentorelay.example/pimento"
	"pimentorelay.example/pimento/forwarder"
	"pimentorelay.example/pimento/quarantiner"
	"pimentorelay.example/pimento/scheduler"
	"pimentorelay.example/pimento/translator"
)

const (
	// maxLateRetries is how many retries of a request may get a permit later than
	// crashNoticeTime after it has crashed the third upstream.
	maxLateRetries  = 3
	crashNoticeTime = 3 * time.Second
)

// threeCrashes are facts of the test request that another process has found.
var threeCrashes = []quarantiner.Fact{
	{Fingerprint: 7, Run: quarantiner.Run{Upstream: "x", Started: 1}},
	{Fingerprint: 7, Run: quarantiner.Run{Upstream: "x", Started: 2}},
	{Fingerprint: 7, Run: quarantiner.Run{Upstream: "y", Started: 1}},
}

// finish ends the request of a permit.
func finish(p forwarder.Permit, kind scheduler.ResultKind) {
	p.(*permit).result = scheduler.Result{Kind: kind}
	p.Done(nil)
}

// setDown makes a process reachable or not.
func (n *network) setDown(id pimento.ProcessID, down bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.down[id] = down
}

// forgetCrashes makes a process forget all crashes, as its restart would.
func (n *network) forgetCrashes(id pimento.ProcessID) {
	a := n.nodes[id]
	a.mu.Lock()
	defer a.mu.Unlock()
	a.quarantine = quarantiner.New()
}

// crashOnce sends the request through a process to an upstream that it crashes, and
// reports whether it got a permit.
func (n *network) crashOnce(t *testing.T, by pimento.ProcessID, start int, end func(forwarder.Permit)) bool {
	t.Helper()
	p, err := n.acquire(t, by)
	if err != nil {
		return false
	}
	end(p)
	n.setState(time.Unix(int64(start), 0))
	return true
}

// TestCrashWhoseReportIsLostIsNotCounted guards against a request that is sent on and
// on: the results of its crashes do not reach the dispatcher, or are no result.
func TestCrashWhoseReportIsLostIsNotCounted(t *testing.T) {
	for _, c := range []struct {
		name string
		end  func(n *network, p forwarder.Permit)
	}{
		{"ReportArrives", func(_ *network, p forwarder.Permit) { finish(p, scheduler.ResultBroken) }},
		{"ReportLost", func(n *network, p forwarder.Permit) {
			n.setDown("a", true)
			finish(p, scheduler.ResultBroken)
			n.setDown("a", false)
		}},
		{"DispatcherLost", func(n *network, p forwarder.Permit) {
			finish(p, scheduler.ResultBroken)
			n.forgetCrashes("a")
		}},
		{"LinkCloses", func(n *network, _ forwarder.Permit) { n.nodes["a"].HandleClosed(n.links["b"]) }},
		{"TimesOut", func(_ *network, p forwarder.Permit) { finish(p, scheduler.ResultTimeout) }},
		{"CallerLeaves", func(_ *network, p forwarder.Permit) { finish(p, scheduler.ResultCanceled) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			n := newNetwork(t)
			start := 1
			crash := func() bool {
				start++
				time.Sleep(dispatcherSkipTime + 50*time.Millisecond) // ask "a" again
				return n.crashOnce(t, "b", start, func(p forwarder.Permit) { c.end(n, p) })
			}
			for range quarantiner.CrashLimit {
				if !crash() {
					t.Fatal("refused before the third crash")
				}
			}
			time.Sleep(crashNoticeTime)
			late := 0
			for range maxLateRetries + 1 {
				if crash() {
					late++
				}
			}
			if late > maxLateRetries {
				t.Errorf("%d of %d retries later than 3 s after the third crash got a permit; allowed 3", late, maxLateRetries+1)
			}
		})
	}
}

// TestFailureOfAnotherUpstreamForgetsCrashes guards against a request that is sent on and
// on, since an upstream that fails all requests answers one of its copies now and then.
func TestFailureOfAnotherUpstreamForgetsCrashes(t *testing.T) {
	t.Parallel()
	n := newNetwork(t)
	start, crashes, late := 1, 0, 0
	var thirdAt time.Time
	for i := 0; i < 12 && late <= maxLateRetries; i++ {
		kind := scheduler.ResultBroken
		if i%3 == 2 {
			kind = scheduler.ResultFailed
		}
		start++
		if !n.crashOnce(t, "b", start, func(p forwarder.Permit) { finish(p, kind) }) {
			break
		}
		if kind == scheduler.ResultFailed {
			continue
		}
		switch crashes++; {
		case crashes == quarantiner.CrashLimit:
			thirdAt = time.Now()
			time.Sleep(crashNoticeTime + 100*time.Millisecond)
		case crashes > quarantiner.CrashLimit && time.Since(thirdAt) > crashNoticeTime:
			late++
		}
	}
	if late > maxLateRetries {
		t.Errorf("%d retries later than 3 s after the third crash got a permit; allowed 3", late)
	}
}

// TestWaitingRequestIsSentAfterThreeCrashes guards against copies of a request that got
// into the queue before its third crash and are sent long after it.
func TestWaitingRequestIsSentAfterThreeCrashes(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	n := newNetwork(t)
	a := n.nodes["a"]
	var busy []forwarder.Permit
	for range slots {
		p, _ := n.mustAcquire(t, "b")
		busy = append(busy, p)
	}
	var mu sync.Mutex
	late, refused := 0, 0
	var copies sync.WaitGroup
	for range maxLateRetries + 1 {
		copies.Go(func() {
			p, err := n.acquire(t, "c")
			mu.Lock()
			defer mu.Unlock()
			var out *pimento.OutcomeError
			if err != nil {
				if errors.As(err, &out) && out.Reason == pimento.ReasonQuarantined {
					refused++
				}
				return
			}
			late++
			finish(p, scheduler.ResultCanceled)
		})
	}
	for a.Waiting() < maxLateRetries+1 {
		time.Sleep(time.Millisecond)
	}
	a.MergeCrashFacts(threeCrashes)
	time.Sleep(crashNoticeTime + 100*time.Millisecond)
	for _, p := range busy {
		finish(p, scheduler.ResultAnswered)
	}
	copies.Wait()
	if late > maxLateRetries {
		t.Errorf("%d copies that waited got a permit later than 3 s after the third crash; allowed 3", late)
	}
	is.Equal(late+refused, maxLateRetries+1)
}

// TestResetsRefuseNobody guards against the refusal of a request whose connections are
// reset at an upstream that then answers others.
func TestResetsRefuseNobody(t *testing.T) {
	is := is.New(t)
	n := newNetwork(t)
	other := request(testTimeout)
	other.Fingerprint = 8
	for range 12 {
		p, err := n.acquire(t, "b")
		is.NoErr(err)
		finish(p, scheduler.ResultBroken)
		p, err = n.nodes["c"].Acquire(t.Context(), other, forwarder.AttemptState{Number: 1})
		is.NoErr(err)
		finish(p, scheduler.ResultAnswered)
	}
	_, err := n.acquire(t, "b")
	is.NoErr(err)
}

// TestPermitOfRefusedRequestIsNotUsed checks that a request that is found to crash
// upstreams after it got a permit is not sent, and that this is no suspicion.
func TestPermitOfRefusedRequestIsNotUsed(t *testing.T) {
	is := is.New(t)
	n := newNetwork(t)
	p, _ := n.mustAcquire(t, "b")
	n.nodes["b"].MergeCrashFacts(threeCrashes)
	var out *pimento.OutcomeError
	_, _, err := p.Serve(t.Context(), request(testTimeout), nil)
	is.True(errors.As(err, &out))
	is.Equal(out.Outcome, pimento.OutcomeNotRun)
	is.Equal(out.Reason, pimento.ReasonQuarantined)
	is.True(out.RetryAfter > 0)
	p.Done(err)
	for _, id := range []pimento.ProcessID{"a", "b"} {
		a := n.nodes[id]
		a.mu.Lock()
		is.True(!a.quarantine.HasSuspicions())
		a.mu.Unlock()
	}
}

// TestOneCopyAtATimeAfterARefusal checks that only one copy of a request runs when its
// refusal has ended, and that all may once that is answered.
func TestOneCopyAtATimeAfterARefusal(t *testing.T) {
	is := is.New(t)
	n := newNetwork(t)
	old := slices.Clone(threeCrashes)
	for i := range old {
		old[i].Age = 90 * time.Second
	}
	n.nodes["a"].MergeCrashFacts(old)
	first, _ := n.mustAcquire(t, "b")
	var out *pimento.OutcomeError
	_, err := n.acquire(t, "c")
	is.True(errors.As(err, &out))
	is.Equal(out.Reason, pimento.ReasonQuarantined)
	is.Equal(out.RetryAfter, trialRetryAfter)
	finish(first, scheduler.ResultAnswered)
	for range slots {
		n.mustAcquire(t, "c")
	}
}

// acquireInTime acquires a permit as soon as the scheduler tries the upstream again.
func (n *network) acquireInTime(t *testing.T, id pimento.ProcessID) forwarder.Permit {
	t.Helper()
	for end := time.Now().Add(testTimeout); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if p, err := n.acquire(t, id); err == nil {
			return p
		}
	}
	t.Fatal("no permit")
	return nil
}

// TestDialThatTimesOutIsNoEvidence checks that only a refused connection confirms a
// crash, at the dispatcher and at the sender, and that a dial that ended in another way
// does not hide a later break.
func TestDialThatTimesOutIsNoEvidence(t *testing.T) {
	is := is.New(t)
	n := newNetwork(t)
	crashes := func() (count int, open bool) {
		for _, id := range []pimento.ProcessID{"a", "b"} {
			a := n.nodes[id]
			a.mu.Lock()
			count += a.quarantine.Crashes(7)
			open = open || len(a.quarantine.OpenRuns()) > 0
			a.mu.Unlock()
		}
		return count, open
	}
	p, _ := n.mustAcquire(t, "b")
	broken, _ := n.mustAcquire(t, "b")
	finish(p, scheduler.ResultUnreachable) // the dial timed out
	finish(broken, scheduler.ResultBroken)
	count, open := crashes()
	is.Equal(count, 0)
	is.True(open)

	p = n.acquireInTime(t, "b")
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	_, _, err := p.Serve(ended, request(testTimeout), nil)
	is.True(err != nil)
	p.Done(err)
	count, open = crashes()
	is.Equal(count, 0)
	is.True(open)

	p = n.acquireInTime(t, "b")
	_, _, err = p.Serve(t.Context(), request(testTimeout), nil) // nothing listens
	is.True(err != nil)
	p.Done(err)
	count, open = crashes()
	is.Equal(count, 2)
	is.True(!open)
}

// TestPermitThatIsNotReturnedIsSuspected checks that a request whose end is never
// reported counts against it if its upstream is then found restarted.
func TestPermitThatIsNotReturnedIsSuspected(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	n := newNetwork(t)
	_, err := n.nodes["b"].Acquire(t.Context(), request(time.Second), forwarder.AttemptState{Number: 1})
	is.NoErr(err)
	a := n.nodes["a"]
	suspected := func() bool {
		a.mu.Lock()
		defer a.mu.Unlock()
		return a.quarantine.HasSuspicions()
	}
	for end := time.Now().Add(testTimeout); !suspected() && time.Now().Before(end); {
		time.Sleep(10 * time.Millisecond)
	}
	is.Equal(a.quarantineWait(7), time.Duration(0)) // not counted yet
	n.setState(time.Unix(2, 0))
	a.mu.Lock()
	defer a.mu.Unlock()
	is.Equal(a.quarantine.Crashes(7), 1)
}

// TestRequestThatWasNotSentBlamesNobody guards against an upstream that counts as slow
// because requests to it ended before they were sent.
func TestRequestThatWasNotSentBlamesNobody(t *testing.T) {
	is := is.New(t)
	is.Equal(resultKind(pimento.Answer{}, pimento.NotRun(pimento.ReasonTimeout, "")), scheduler.ResultCanceled)
	is.Equal(resultKind(pimento.Answer{}, pimento.Unknown(pimento.ReasonTimeout, "")), scheduler.ResultTimeout)
}

// awaitedBody is a body that comes once it is read, and then identifies its request.
type awaitedBody struct {
	io.Reader
	request *pimento.Request
}

// Read implements io.Reader.
func (b *awaitedBody) Read(p []byte) (int, error) {
	b.request.Fingerprint = 7
	return b.Reader.Read(p)
}

// TestRequestIsKnownOnceItsBodyComes guards against a request that is sent, or whose crash
// is not counted, since its body comes after its permit.
func TestRequestIsKnownOnceItsBodyComes(t *testing.T) {
	for _, facts := range [][]quarantiner.Fact{nil, threeCrashes} {
		t.Run(fmt.Sprint(len(facts)), func(t *testing.T) {
			is := is.New(t)
			var received atomic.Int32
			up := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
				received.Add(1)
				panic(http.ErrAbortHandler)
			}))
			defer up.Close()
			n := newNetwork(t)
			b := n.nodes["b"]
			b.Wire = translator.Wire{}
			n.moveUpstream(addressOf(up.Listener))
			b.MergeCrashFacts(facts)
			r := request(testTimeout)
			r.Method, r.Path, r.Host, r.BodyLength, r.Fingerprint = "POST", "/", "x", 4, 0
			p, err := b.Acquire(t.Context(), r, forwarder.AttemptState{Number: 1})
			is.NoErr(err)
			_, _, err = p.Serve(t.Context(), r, &awaitedBody{Reader: strings.NewReader("body"), request: r})
			is.True(err != nil)
			p.Done(err)
			if facts == nil {
				is.Equal(received.Load(), int32(1))
				n.setState(time.Unix(2, 0))
				b.mu.Lock()
				defer b.mu.Unlock()
				is.Equal(b.quarantine.Crashes(7), 1)
				return
			}
			is.Equal(received.Load(), int32(0))
			is.True(isAvoided(err)) // its dispatcher is asked again
			var out *pimento.OutcomeError
			_, err = b.Acquire(t.Context(), r, forwarder.AttemptState{Number: 1, Again: true})
			is.True(errors.As(err, &out))
			is.Equal(out.Reason, pimento.ReasonQuarantined)
		})
	}
}

// isAvoided reports whether a permit was not used.
func isAvoided(err error) bool {
	var out *pimento.OutcomeError
	return errors.As(err, &out) && out.Outcome == pimento.OutcomeNotRun && out.Reason == pimento.ReasonAvoided
}

// moveUpstream passes all processes the state with another address of upstream "u".
func (n *network) moveUpstream(address netip.AddrPort) {
	for _, a := range n.nodes {
		a.mu.Lock()
		next := *a.state
		a.mu.Unlock()
		next.Upstreams = slices.Clone(next.Upstreams)
		next.Upstreams[0].Address = address
		a.Update(&next)
	}
}
