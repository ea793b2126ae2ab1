package quarantiner

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"pimentorelay.example/pimento"
)

const (
	// maxLateRetries is how many retries of a request may reach upstreams later than
	// crashNoticeTime after it has crashed the third.
	maxLateRetries  = 3
	crashNoticeTime = 3 * time.Second
)

// TestCrashFoundLateIsForgotten guards against a request that crashes every upstream
// that runs it and is sent on and on, since each crash is found late.
func TestCrashFoundLateIsForgotten(t *testing.T) {
	for _, found := range []time.Duration{time.Millisecond, 2900 * time.Millisecond, 3100 * time.Millisecond, 4 * time.Second, 8 * time.Second} {
		t.Run(found.String(), func(t *testing.T) {
			for _, pause := range []time.Duration{50 * time.Millisecond, time.Second, 3100 * time.Millisecond} {
				if sent := crashUpstreams(pause, found); lateRetries(sent) > maxLateRetries {
					t.Errorf("sent every %s: crashed %d upstreams in 40 s, %d of them more than 3 s after the third; allowed 3",
						pause, len(sent), lateRetries(sent))
				}
			}
		})
	}
}

// crashUpstreams sends a request for 40 s, after each pause in which it may be sent. It
// ends every upstream that gets it, which is found after a time. It returns when the
// request was sent.
func crashUpstreams(pause, found time.Duration) (sent []time.Time) {
	m := New()
	end := t0.Add(40 * time.Second)
	next, reported := t0, 0
	for now := t0; now.Before(end); now = now.Add(10 * time.Millisecond) {
		for reported < len(sent) && !now.Before(sent[reported].Add(found)) {
			m.Restarted(now, crashedUpstream(reported))
			reported++
		}
		if now.Before(next) || m.RetryAfter(now, 1) > 0 {
			continue
		}
		m.ConnectionBroke(now, crashedUpstream(len(sent)), 1)
		sent = append(sent, now)
		next = now.Add(pause)
	}
	return sent
}

func crashedUpstream(i int) pimento.UpstreamName { return pimento.UpstreamName(fmt.Sprint("u", i)) }

// lateRetries counts the retries later than crashNoticeTime after the third.
func lateRetries(sent []time.Time) int {
	n := 0
	for i, at := range sent {
		if i >= CrashLimit && at.Sub(sent[CrashLimit-1]) > crashNoticeTime {
			n++
		}
	}
	return n
}

// TestResetsRefuseNobody guards against the refusal of a request whose connections are
// reset again and again at upstreams that then answer others.
func TestResetsRefuseNobody(t *testing.T) {
	is := is.New(t)
	m := New()
	now := t0
	for i := range 40 {
		m.ConnectionBroke(now, crashedUpstream(i%7), 1)
		now = now.Add(50 * time.Millisecond)
		m.Answered(crashedUpstream(i%7), now.Add(-10*time.Millisecond), 2)
		is.Equal(m.RetryAfter(now, 1), time.Duration(0))
		m.Restarted(now.Add(time.Second), crashedUpstream(i%7)) // a rolling restart
	}
	is.True(!m.Blocked(now, 1))
}
