package main

import "fmt"

// countLost judges the rule LOST: requests that were passed on to an instance that did not
// break off, and whose connection ended without a complete answer before their time was
// over. Around planned work, an answer of the machine's own in place of that of an
// instance at work counts too.
func countLost(p *play, consumers []*consumer, seen *arrivals, planned bool, allowed int) verdict {
	sent, answered, lost, other := 0, 0, 0, 0
	for _, c := range consumers {
		overBefore := false // an earlier answer had to be cut, and with it the connection
		for _, a := range c.attempts() {
			sent++
			at, passedOn := seen.get(a.id)
			broken := a.complete && !a.signed && at.cut
			switch {
			case a.complete && !broken:
				answered++
			case !passedOn || a.isOver() || overBefore || a.status != 0 && !planned:
				other++
				overBefore = overBefore || a.isOver()
			default:
				lost++
				p.log.add("LOST: %s of %s was passed on to %s and has no complete answer of it: status %d, %v", a.id, c.name, at.instance, a.status, a.err)
			}
		}
	}
	return verdict{
		broken:  lost > allowed,
		summary: fmt.Sprintf("%d requests: %d answered, %d passed on to a sound instance and lost (allowed: %d), %d others not answered", sent, answered, lost, allowed, other),
	}
}
