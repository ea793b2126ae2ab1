package acceptor

import (
	"math"
	"sync"
	"time"
)

const (
	// maxDelay is how long the messages between processes may wait here until connections
	// that cost more than others are slowed: heartbeats and leases depend on them.
	maxDelay = 100 * time.Millisecond
	// maxPause bounds the pause before the next request of a connection.
	maxPause = 500 * time.Millisecond
	// paceDecay is the time in which the measured cost of a connection falls to 1/e.
	paceDecay = time.Second
	// greedyFactor is how many times the mean cost of all connections one must have to be
	// slowed.
	greedyFactor = 2
	// minGreedyCost is what one must cost at least.
	minGreedyCost = 256 << 10
)

// costRate is what the requests of a connection, or of all, have cost of late, in bytes of
// memory, which stands for the processor time as well.
type costRate struct {
	value float64
	at    time.Time
}

func (r *costRate) add(now time.Time, n float64) {
	r.value = r.now(now) + n
	r.at = now
}

func (r *costRate) now(now time.Time) float64 {
	if r.at.IsZero() {
		return 0
	}
	return r.value * math.Exp(-now.Sub(r.at).Seconds()/paceDecay.Seconds())
}

// pacer slows the connections that cost most while this process is behind with its own work, so
// that a crowd does not take the processor from heartbeats, leases and a shutdown. The load
// that it answers: a few callers whose requests cost many times those of others.
type pacer struct {
	mu  sync.Mutex
	all costRate
}

// pause records the cost of a request of a connection, and returns how long its next one has to
// wait: as long as messages wait here, if the connection costs more than its part.
func (p *pacer) pause(now time.Time, one *costRate, cost int64, connections int, delay time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	one.add(now, float64(cost))
	p.all.add(now, float64(cost))
	mean := p.all.now(now) / float64(max(1, connections))
	if delay <= maxDelay || connections <= 1 || one.now(now) <= max(greedyFactor*mean, minGreedyCost) {
		return 0
	}
	return min(delay, maxPause)
}
