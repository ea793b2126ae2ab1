package recorder

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"os"
	"sync/atomic"
	"time"
)

const (
	// queueSize is the most lines that wait to be written. At some 300 bytes a
	// line they take less than a megabyte.
	queueSize = 2048
	// gatherPause is how long lines are gathered before they are written, so
	// that many lines cost one system call and one wake-up.
	gatherPause = 100 * time.Millisecond
	// flushTimeout bounds the last write of a process.
	flushTimeout = 300 * time.Millisecond
)

// Writer passes lines on to another writer and never blocks: where that one
// stands still, such as a pipe that nobody reads, lines are dropped and
// counted. Set To before Start.
type Writer struct {
	To io.Writer

	queue   chan []byte
	dropped atomic.Uint64
	stop    context.CancelFunc
	ended   chan struct{}
}

// Start begins to pass lines on.
func (w *Writer) Start() {
	w.queue = make(chan []byte, queueSize)
	w.ended = make(chan struct{})
	ctx, stop := context.WithCancel(context.Background())
	w.stop = stop
	go w.run(ctx)
}

// Write takes a line. It always succeeds.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.queue <- bytes.Clone(line):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns how many lines were dropped since the other writer stood
// still.
func (w *Writer) Dropped() uint64 { return w.dropped.Load() }

// Close writes what was taken, if that is possible in a short time.
func (w *Writer) Close() error {
	w.stop()
	select {
	case <-w.ended:
		return nil
	case <-time.After(flushTimeout):
		return fmt.Errorf("Writer.Close: %w", os.ErrDeadlineExceeded)
	}
}

// run passes lines on until ctx ends, and then what is left.
func (w *Writer) run(ctx context.Context) {
	defer close(w.ended)
	var text bytes.Buffer
	for {
		select {
		case line := <-w.queue:
			text.Write(line)
		case <-ctx.Done():
			w.gather(&text)
			w.flush(&text)
			return
		}
		select {
		case <-time.After(gatherPause):
		case <-ctx.Done():
		}
		w.gather(&text)
		w.flush(&text)
	}
}

// gather takes the lines that wait.
func (w *Writer) gather(text *bytes.Buffer) {
	for {
		select {
		case line := <-w.queue:
			text.Write(line)
		default:
			return
		}
	}
}

// flush writes what was gathered. Where that fails the lines are lost, and
// there is nowhere left to say so but the count.
func (w *Writer) flush(text *bytes.Buffer) {
	if text.Len() == 0 {
		return
	}
	if _, err := w.To.Write(text.Bytes()); err != nil {
		w.dropped.Add(uint64(bytes.Count(text.Bytes(), []byte{'\n'})))
	}
	text.Reset()
}
