package assembler_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"pimentorelay.example/pimento"
	"pimentorelay.example/pimento/assembler"
	"pimentorelay.example/pimento/quarantiner"
	"pimentorelay.example/pimento/sender"
	"pimentorelay.example/pimento/upstreamfaker"
)

const (
	// maxLateRetries is how many retries of a request may reach upstreams later than
	// crashNoticeTime after it has crashed the third.
	maxLateRetries  = 3
	crashNoticeTime = 3 * time.Second
)

// poison is an order that crashes every upstream that runs it.
var poison = sender.Request{Method: "POST", Body: []byte("poison, please"), Timeout: time.Second}

// TestRequestIsRefusedAfterThreeCrashes guards against a request that is sent on and on
// since its crashes are found late, or were known to a leader that is lost.
func TestRequestIsRefusedAfterThreeCrashes(t *testing.T) {
	for _, c := range []struct {
		name       string
		faults     upstreamfaker.Faults
		leaderLost bool // after the second crash
	}{
		{"FoundSoon", upstreamfaker.Faults{CrashOn: "poison", RestartIn: pimento.Span(300 * time.Millisecond)}, false},
		{"FoundSoonLeaderLost", upstreamfaker.Faults{CrashOn: "poison", RestartIn: pimento.Span(300 * time.Millisecond)}, true},
		{"FoundLate", upstreamfaker.Faults{CrashOn: "poison", RestartIn: pimento.Span(5 * time.Second), SilentDown: true}, false},
		{"FoundLateLeaderLost", upstreamfaker.Faults{CrashOn: "poison", RestartIn: pimento.Span(5 * time.Second), SilentDown: true}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			d := startDeployment(t)
			for _, u := range d.Upstreams {
				u.Inject(c.faults)
			}
			kill := func(crashes int) {
				if c.leaderLost && crashes == 2 {
					killProcesses(d, currentLeader(storedAssignment(t, d)))
				}
			}
			crashes, late := sendPoison(t.Context(), d, 25*time.Second, kill)
			t.Logf("%d crashes", crashes)
			if late > maxLateRetries {
				t.Errorf("%d crashes, %d of them later than 3 s after the third; allowed 3", crashes, late)
			}
		})
	}
}

// sendPoison sends poison through all processes for a time, and counts the crashes and
// those later than crashNoticeTime after the third. It calls onCrash with each count.
func sendPoison(ctx context.Context, d *assembler.Deployment, lasts time.Duration, onCrash func(crashes int)) (crashes, late int) {
	const pause = 1200 * time.Millisecond
	var thirdAt time.Time
	end := time.Now().Add(lasts)
	for i := 0; time.Now().Before(end); i++ {
		r := poison
		r.URL = d.URL(i%limitEntries) + "/connection%20refused/order/poison"
		// A refusal, a lost connection and a killed process are all expected.
		_, _ = sender.Send(ctx, r)
		n := totalCrashes(d)
		if n == crashes {
			time.Sleep(pause)
			continue
		}
		if crashes < quarantiner.CrashLimit && n >= quarantiner.CrashLimit {
			thirdAt = time.Now()
		}
		if crashes >= quarantiner.CrashLimit && time.Since(thirdAt) > crashNoticeTime {
			late += n - crashes
		}
		crashes = n
		onCrash(crashes)
		time.Sleep(pause)
	}
	return crashes, late
}

// totalCrashes counts the crashes that requests have caused.
func totalCrashes(d *assembler.Deployment) int {
	n := 0
	for _, u := range d.Upstreams {
		n += u.Report().Crashes
	}
	return n
}

// TestResetsRefuseNobody guards against the lasting refusal of an order whose answers are
// cut off again and again at upstreams that then answer others.
func TestResetsRefuseNobody(t *testing.T) {
	is := is.New(t)
	d := startDeployment(t)
	unlucky := sender.Request{Method: "POST", Body: []byte("unlucky"), URL: d.URL(0) + "/connection%20refused/order/unlucky"}
	for range 8 {
		for _, u := range d.Upstreams {
			u.Inject(upstreamfaker.Faults{CutNext: 1})
		}
		_, err := sender.Send(t.Context(), unlucky)
		is.True(err != nil)
		for _, u := range d.Upstreams {
			u.Inject(upstreamfaker.Faults{})
		}
		for i := range 24 {
			other := sender.Request{Method: "POST", Body: fmt.Append(nil, "other ", i), URL: d.URL(i%limitEntries) + "/connection%20refused/order/other"}
			_, err := sender.Send(t.Context(), other)
			is.NoErr(err)
		}
	}
	sentAt := time.Now()
	_, err := sender.Send(t.Context(), unlucky)
	is.NoErr(err)
	is.True(time.Since(sentAt) < crashNoticeTime)
}
