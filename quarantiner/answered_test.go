package quarantiner

import (
	"fmt"
	"testing"
	"time"

	"pimentorelay.example/pimento"
)

// TestAnswerToAnotherCallerForgetsCrashes guards against a request that is sent on and on,
// since another caller asks for the same between its crashes and is answered.
func TestAnswerToAnotherCallerForgetsCrashes(t *testing.T) {
	const (
		interval = 3.0 // seconds between two copies that crash
		lasts    = 60.0
		maxLate  = 3 // retries later than notice after the third crash
		notice   = 3.0
	)
	m := New()
	crashes, late := 0, 0
	thirdAt := 0.0
	for now := 0.0; now < lasts; now += interval {
		if m.RetryAfter(at(now), 7) == 0 {
			crashes++
			if crashes == CrashLimit {
				thirdAt = now
			}
			if crashes > CrashLimit && now-thirdAt > notice {
				late++
			}
			crash(m, at(now), pimento.UpstreamName(fmt.Sprint("u", crashes)), 7)
		}
		if sent := at(now + 2.5); m.RetryAfter(sent, 7) == 0 {
			m.Answered(sent.Add(200*time.Millisecond), runAt("other", 0), sent, 7)
		}
	}
	if late > maxLate {
		t.Errorf("%d crashes, %d of them later than 3 s after the third; allowed %d", crashes, late, maxLate)
	}
}
