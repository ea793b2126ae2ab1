package assembler_test

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"pimentorelay.example/pimento"
	"pimentorelay.example/pimento/quarantiner"
	"pimentorelay.example/pimento/sender"
	"pimentorelay.example/pimento/upstreamfaker"
)

// TestRequestThatCrashesUpstreams repeats, through all entries, a request that
// crashes every upstream that runs it. After a few crashes it must be refused
// everywhere, while other requests are served.
func TestRequestThatCrashesUpstreams(t *testing.T) {
	// Duplicates may already be in flight before the previous crash is detected.
	const maxCrashes = quarantiner.CrashLimit + 3
	for _, c := range []struct {
		name string
		r    sender.Request
		path string
	}{
		{"keyed and idempotent", sender.Request{Method: "GET", Key: "soum-17"}, "/TIMEOUT%20504/guide/"},
		{"once only", sender.Request{Method: "POST", Body: []byte("poison, please")}, "/connection%20refused/order/"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			d := startDeployment(t)
			for _, u := range d.Upstreams {
				u.Inject(upstreamfaker.Faults{CrashOn: "poison", RestartIn: pimento.Span(300 * time.Millisecond)})
			}
			var last *sender.RefusedError
			for i := range 30 {
				r := c.r
				r.URL = d.URL(i%5) + c.path + "poison"
				_, err := sender.Send(t.Context(), r)
				is.True(errors.As(err, &last))
				time.Sleep(150 * time.Millisecond)
			}
			is.Equal(last.Reason, pimento.ReasonQuarantined)
			is.Equal(last.Outcome, pimento.OutcomeNotRun)
			is.True(last.RetryAfter > 0)
			crashes := 0
			for _, u := range d.Upstreams {
				crashes += u.Report().Crashes
			}
			t.Logf("%d crashes", crashes)
			is.True(crashes >= 1 && crashes <= maxCrashes)
			for i := range 5 {
				is.NoErr(eventually(func() error {
					r := c.r
					r.URL, r.Body = d.URL(i)+c.path+"sound", nil
					_, err := sender.Send(t.Context(), r)
					return err
				}))
			}
		})
	}
}

// eventually repeats an attempt until it succeeds or readyTimeout has passed.
func eventually(attempt func() error) error {
	end := time.Now().Add(readyTimeout)
	for {
		err := attempt()
		if err == nil || time.Now().After(end) {
			return err
		}
		time.Sleep(100 * time.Millisecond)
	}
}
