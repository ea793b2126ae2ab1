package limiter

import (
	"time"

	"pimentorelay.example/pimento"
)

const (
	// minRate, in requests a second, is the least rate to an upstream whatever it
	// names: only an answer can tell that its limit has ended.
	minRate = 0.2
	// minBurst and burstTime bound the requests that a dispatcher may send at once
	// after a pause: minBurst, or what comes in burstTime if that is more.
	minBurst  = 2
	burstTime = 250 * time.Millisecond
	// backupBurst is the same for a process that has only a share of the limit. It
	// saves nothing for later while nobody asks it, as many of them may begin at once.
	backupBurst = 1
	// idleAfter is the time without a question after which nobody asks.
	idleAfter = 500 * time.Millisecond
	// maxBooked bounds the callers that are given different times to come back.
	maxBooked = 64
)

// Pacer spaces the requests to one upstream so that they keep to its limit, or to
// the share of it that this process has. The zero value has no limit.
type Pacer struct {
	rate    float64 // requests a second; zero: no limit
	burst   float64
	tokens  float64 // requests that may be sent at once
	booked  float64 // callers that were told to come back and may still do so
	at      time.Time
	backup  bool // this process has only a share
	askedAt time.Time
}

// SetLimit puts a limit in force, of which this process may use a share. A limit
// that is new begins without a token: other processes may have sent just now.
func (p *Pacer) SetLimit(now time.Time, limit pimento.RateLimit, share float64) {
	p.advance(now)
	p.rate = max(float64(limit), minRate) * share
	p.burst = backupBurst
	p.backup = share < 1
	if !p.backup {
		p.burst = max(minBurst, p.rate*burstTime.Seconds())
	}
	p.tokens = min(p.tokens, p.burst)
}

// Clear removes the limit.
func (p *Pacer) Clear() { *p = Pacer{} }

// advance adds the tokens of the time since the last call.
func (p *Pacer) advance(now time.Time) {
	if p.rate > 0 && now.After(p.at) {
		earned := p.rate * now.Sub(p.at).Seconds()
		p.tokens = min(p.tokens+earned, p.burst)
		if p.backup && now.Sub(p.askedAt) > idleAfter {
			p.tokens = min(p.tokens, 0)
		}
		p.booked = max(0, p.booked-earned)
	}
	if now.After(p.at) {
		p.at = now
	}
}

// ask advances the pacer for a request that is to be sent.
func (p *Pacer) ask(now time.Time) {
	p.advance(now)
	p.askedAt = now
}

// Limited reports whether a limit is in force.
func (p *Pacer) Limited() bool { return p.rate > 0 }

// Rate returns the requests a second that this process may send; zero: any number.
func (p *Pacer) Rate() float64 { return p.rate }

// Allows reports whether a request may be sent now.
func (p *Pacer) Allows(now time.Time) bool {
	p.ask(now)
	return p.rate == 0 || p.tokens >= 1
}

// Sent records that a request is sent.
func (p *Pacer) Sent(now time.Time) {
	p.ask(now)
	if p.rate > 0 {
		p.tokens--
	}
}

// Wait returns how long it takes until n more requests may have been sent.
func (p *Pacer) Wait(now time.Time, n int) time.Duration {
	p.ask(now)
	if p.rate == 0 || p.tokens >= float64(n) {
		return 0
	}
	seconds := (float64(n) - p.tokens) / p.rate
	return time.Duration(min(seconds, maxWait.Seconds()) * float64(time.Second))
}

// maxWait bounds the result of Wait.
const maxWait = time.Hour

// Book returns when a caller that is refused should come back, with n requests
// ahead of it: behind those that were told to come back before.
func (p *Pacer) Book(now time.Time, n int) time.Duration {
	p.ask(now)
	wait := p.Wait(now, n+int(p.booked))
	p.booked = min(p.booked+1, maxBooked)
	return wait
}
