// Package recorder keeps the latest events of a process in a bounded ring and
// writes them to the log. The stamps of a hybrid logical clock put the events
// of all processes in one order.
//
// # Usage
//
//	r := &recorder.Recorder{Process: id, Log: logger}
//	r.Emit(pimento.EventGrantFailed, "Upstream", name, "Keys", keys)
//	r.Observe(message.Stamp)
//	events := r.Events()
package recorder

import (
	"fmt"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"pimentorelay.example/pimento"
)

// ringSize is the number of events that are kept.
const ringSize = 8192

// Recorder is the ring of one process. Set the exported fields before use.
type Recorder struct {
	Process pimento.ProcessID
	Log     hclog.Logger

	mu   sync.Mutex
	last pimento.Stamp
	ring []pimento.Event
	next int
}

// Emit records an event. Names and values alternate in pairs.
func (r *Recorder) Emit(number pimento.EventNumber, pairs ...any) {
	e := pimento.Event{Process: r.Process, Number: number, Name: number.String(), Attributes: attributes(pairs)}
	r.mu.Lock()
	e.Stamp = r.tick(time.Now())
	r.keep(e)
	r.mu.Unlock()
	if r.Log != nil {
		r.Log.Info(e.Name, append([]any{"Event", int(number)}, pairs...)...)
	}
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
