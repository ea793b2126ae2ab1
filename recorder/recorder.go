// Package recorder writes what a process does and believes to its log, as
// numbered events, and keeps the latest of those about its beliefs in a bounded
// ring. The stamps of a hybrid logical clock put the events of all processes in
// one order.
//
// The volume is bounded for each kind of event; lines above it are left out,
// counted, and their number is logged. Writing never blocks (type Writer).
//
// # Usage
//
//	w := &recorder.Writer{To: os.Stdout}
//	w.Start()
//	defer w.Close()
//	r := &recorder.Recorder{Process: id, Log: hclog.New(&hclog.LoggerOptions{Output: w})}
//	r.Emit(pimento.EventGrantFailed, "Upstream", name, "Keys", keys) // a belief
//	r.Note(pimento.EventRequestNotRun, "Request", id, "Reason", reason) // a request
//	events := r.Events()
package recorder

import (
	"fmt"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"pimentorelay.example/pimento"
)

// ringSize is the number of events that are kept. At some 500 bytes an event
// they take a megabyte.
const ringSize = 2048

// Recorder is the ring of one process. Set the exported fields before use.
type Recorder struct {
	Process pimento.ProcessID
	Log     hclog.Logger // nil: nothing is logged
	// OnDropped is told of every line that is left out; it may be nil.
	OnDropped func(number pimento.EventNumber)

	mu   sync.Mutex
	last pimento.Stamp
	ring []pimento.Event
	next int

	limits  sync.Mutex
	buckets map[pimento.EventNumber]*bucket
}

// Emit records an event that changes what the process believes. Names and
// values alternate in pairs.
func (r *Recorder) Emit(number pimento.EventNumber, pairs ...any) {
	e := pimento.Event{Process: r.Process, Number: number, Name: number.String(), Attributes: attributes(pairs)}
	r.mu.Lock()
	e.Stamp = r.tick(time.Now())
	r.keep(e)
	r.mu.Unlock()
	r.log(number, pairs)
}

// Note logs an event of one request. Such events are not kept.
func (r *Recorder) Note(number pimento.EventNumber, pairs ...any) { r.log(number, pairs) }

// log writes a line, unless there are too many of its kind.
func (r *Recorder) log(number pimento.EventNumber, pairs []any) {
	if r.Log == nil || !r.Log.IsInfo() {
		return
	}
	ok, dropped := r.take(number)
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

// write writes a line. Times are written as people read them, such as 250ms.
func (r *Recorder) write(number pimento.EventNumber, pairs []any) {
	line := make([]any, 0, len(pairs)+4)
	line = append(line, "Event", int(number), "Process", r.Process)
	for _, x := range pairs {
		if s, ok := x.(fmt.Stringer); ok {
			x = s.String()
		}
		line = append(line, x)
	}
	r.Log.Info(number.String(), line...)
}

// take asks the bucket of a kind of event.
func (r *Recorder) take(number pimento.EventNumber) (ok bool, dropped uint64) {
	now := time.Now()
	r.limits.Lock()
	defer r.limits.Unlock()
	b, known := r.buckets[number]
	if !known {
		if r.buckets == nil {
			r.buckets = make(map[pimento.EventNumber]*bucket)
		}
		l := limitOf(number)
		b = &bucket{limit: l, tokens: l.burst, at: now}
		r.buckets[number] = b
	}
	return b.take(now)
}

func attributes(pairs []any) []pimento.Attribute {
	out := make([]pimento.Attribute, 0, len(pairs)/2)
	for i := 0; i+1 < len(pairs); i += 2 {
		out = append(out, pimento.Attribute{Name: fmt.Sprint(pairs[i]), Value: fmt.Sprint(pairs[i+1])})
	}
	return out
}

// keep puts an event into the ring. The caller holds mu.
func (r *Recorder) keep(e pimento.Event) {
	if len(r.ring) < ringSize {
		r.ring = append(r.ring, e)
		return
	}
	r.ring[r.next] = e
	r.next = (r.next + 1) % ringSize
}

// tick returns the next stamp. The caller holds mu.
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

// Observe takes in the stamp of a message from another process.
func (r *Recorder) Observe(s pimento.Stamp) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.last.Before(s) {
		r.last = s
	}
	r.tick(time.Now())
}

// Events returns the events in the ring, the oldest first.
func (r *Recorder) Events() []pimento.Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]pimento.Event, 0, len(r.ring))
	out = append(out, r.ring[r.next:]...)
	return append(out, r.ring[:r.next]...)
}
