// Package recorder writes a process's numbered events to its log, and keeps the
// latest changes of its known state in a ring buffer. Timestamps of a hybrid
// logical clock order the events of all processes.
//
// Log lines are rate-limited for each kind of event; dropped lines are counted,
// and the count is logged. Writing never blocks (type Writer).
//
// # Usage
//
//	w := &recorder.Writer{To: os.Stdout}
//	w.Start()
//	defer w.Close()
//	r := &recorder.Recorder{Process: id, Log: hclog.New(&hclog.LoggerOptions{Output: w})}
//	r.Emit(pimento.EventGrantFailed, "Upstream", name, "Keys", keys) // a change of known state
//	r.LogOnly(pimento.EventRequestNotRun, "Request", id, "Reason", reason) // a request
//	events := r.Events()
package recorder

import (
	"fmt"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"pimentorelay.example/pimento"
)

// ringEvents is the number of events kept: about 1 MB at 500 bytes per event.
const ringEvents = 2048

// Recorder logs the events of one process. Set the exported fields before use.
type Recorder struct {
	Process pimento.ProcessID
	Log     hclog.Logger // nil: nothing is logged
	// OnDropped is called for every line that a limit drops; it may be nil.
	OnDropped func(number pimento.EventNumber)

	mu   sync.Mutex
	last pimento.Stamp
	ring []pimento.Event
	next int

	bucketsMu sync.Mutex
	buckets   map[pimento.EventNumber]*bucket
}

// Emit logs a change of the process's known state and keeps it in the ring. Names
// and values alternate in pairs.
func (r *Recorder) Emit(number pimento.EventNumber, pairs ...any) {
	e := pimento.Event{Process: r.Process, Number: number, Name: number.String(), Attributes: attributes(pairs)}
	r.mu.Lock()
	e.Stamp = r.tick(time.Now())
	r.appendToRing(e)
	r.mu.Unlock()
	r.log(number, pairs)
}

// LogOnly logs an event of one request, without keeping it in the ring.
func (r *Recorder) LogOnly(number pimento.EventNumber, pairs ...any) { r.log(number, pairs) }

// log writes a line, unless the limit for its kind is reached.
func (r *Recorder) log(number pimento.EventNumber, pairs []any) {
	if r.Log == nil || !r.Log.IsInfo() {
		return
	}
	ok, dropped := r.allow(number)
	if !ok {
		if r.OnDropped != nil {
			r.OnDropped(number)
		}
		return
	}
	if dropped > 0 {
		r.write(pimento.EventLinesDropped, []any{"Number", int(number), "Count", dropped})
	}
	r.write(number, pairs)
}

// write writes a line. Durations are written in readable form, such as 250ms.
func (r *Recorder) write(number pimento.EventNumber, pairs []any) {
	fields := make([]any, 0, len(pairs)+4)
	fields = append(fields, "Event", int(number), "Process", r.Process)
	for _, x := range pairs {
		if s, ok := x.(fmt.Stringer); ok {
			x = s.String()
		}
		fields = append(fields, x)
	}
	r.Log.Info(number.String(), fields...)
}

// allow applies the rate limit of a kind of event.
func (r *Recorder) allow(number pimento.EventNumber) (ok bool, dropped uint64) {
	now := time.Now()
	r.bucketsMu.Lock()
	defer r.bucketsMu.Unlock()
	b, known := r.buckets[number]
	if !known {
		if r.buckets == nil {
			r.buckets = make(map[pimento.EventNumber]*bucket)
		}
		l := limitOf(number)
		b = &bucket{limit: l, tokens: l.burst, refilledAt: now}
		r.buckets[number] = b
	}
	return b.allow(now)
}

func attributes(pairs []any) []pimento.Attribute {
	out := make([]pimento.Attribute, 0, len(pairs)/2)
	for i := 0; i+1 < len(pairs); i += 2 {
		out = append(out, pimento.Attribute{Name: fmt.Sprint(pairs[i]), Value: fmt.Sprint(pairs[i+1])})
	}
	return out
}

// appendToRing stores an event, in place of the oldest once the ring is full. The
// caller holds mu.
func (r *Recorder) appendToRing(e pimento.Event) {
	if len(r.ring) < ringEvents {
		r.ring = append(r.ring, e)
		return
	}
	r.ring[r.next] = e
	r.next = (r.next + 1) % ringEvents
}

// tick advances the hybrid logical clock. The caller holds mu.
func (r *Recorder) tick(wall time.Time) pimento.Stamp {
	wall = wall.Round(0).UTC()
	if wall.After(r.last.Wall) {
		r.last = pimento.Stamp{Wall: wall}
	} else {
		r.last.Counter++
	}
	return r.last
}

// Stamp returns a stamp for a message to another process.
func (r *Recorder) Stamp() pimento.Stamp {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.tick(time.Now())
}

// Observe advances the clock beyond the stamp of a received message.
func (r *Recorder) Observe(s pimento.Stamp) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.last.Before(s) {
		r.last = s
	}
	r.tick(time.Now())
}

// Events returns the events in the ring, oldest first.
func (r *Recorder) Events() []pimento.Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]pimento.Event, 0, len(r.ring))
	out = append(out, r.ring[r.next:]...)
	return append(out, r.ring[:r.next]...)
}
