package scheduler

import "time"

const (
	// budgetSteps is how many steps the window of the budget has.
	budgetSteps = 20
	// budgetShare is the part of the allowed repeats that is used, since what
	// arrives at upstreams may fall into another window than what was sent.
	budgetShare = 0.8
	// slackShare is the part of the fixed allowance that the first in line
	// uses; those that stand in share the rest.
	slackShare = 0.6
)

// budget bounds the repeats of a service in any stretch of the window. The
// load that it answers: upstreams that fail most of their requests, whose
// repeats would be a second load.
type budget struct {
	ratio  float64
	slack  float64
	window time.Duration

	steps [budgetSteps]struct{ requests, repeats float64 }
	at    int64 // number of the present step
}

// advance clears the steps that have passed out of the window.
func (b *budget) advance(now time.Time) int {
	if b.window <= 0 {
		return 0
	}
	step := now.UnixNano() / (int64(b.window) / budgetSteps)
	for n := 0; b.at < step && n < budgetSteps; n++ {
		b.at++
		b.steps[b.at%budgetSteps] = struct{ requests, repeats float64 }{}
	}
	b.at = step
	return int(step % budgetSteps)
}

// request counts a request that was not sent before.
func (b *budget) request(now time.Time) { b.steps[b.advance(now)].requests++ }

// repeat counts a repeat and reports whether it may be sent.
func (b *budget) repeat(now time.Time, rank int) bool {
	i := b.advance(now)
	var requests, repeats float64
	for _, s := range b.steps {
		requests += s.requests
		repeats += s.repeats
	}
	slack := b.slack * slackShare
	if rank > 0 {
		slack = b.slack * (1 - slackShare) / float64(int(1)<<min(rank, 8))
	}
	if repeats+1 > b.ratio*requests*budgetShare+slack {
		return false
	}
	b.steps[i].repeats++
	return true
}
