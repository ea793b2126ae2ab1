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
	// queueLines bounds the queue: less than 1 MB at 300 bytes per line.
	queueLines = 2048
	// batchInterval is how long lines are collected before they are written, so
	// that many lines cost one system call and one wake-up.
	batchInterval = 100 * time.Millisecond
	// flushTimeout bounds the last write in Close.
	flushTimeout = 300 * time.Millisecond
)

// Writer forwards lines to another writer without blocking: when that writer
// stalls, such as a pipe that nobody reads, lines are dropped and counted. Set To
// before Start.
type Writer struct {
	To io.Writer

	queue   chan []byte
	dropped atomic.Uint64
	stop    context.CancelFunc
	done    chan struct{}
}

// Start begins to forward lines.
func (w *Writer) Start() {
	w.queue = make(chan []byte, queueLines)
	w.done = make(chan struct{})
	ctx, stop := context.WithCancel(context.Background())
	w.stop = stop
	go w.run(ctx)
}

// Write queues a line, or drops it when the queue is full. It always succeeds.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.queue <- bytes.Clone(line):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns how many lines were dropped because the queue was full or the
// other writer failed.
func (w *Writer) Dropped() uint64 { return w.dropped.Load() }

// Close writes the queued lines, and gives up after flushTimeout.
func (w *Writer) Close() error {
	w.stop()
	select {
	case <-w.done:
		return nil
	case <-time.After(flushTimeout):
		return fmt.Errorf("Writer.Close: %w", os.ErrDeadlineExceeded)
	}
}

// run forwards lines until ctx ends, and then those left in the queue.
func (w *Writer) run(ctx context.Context) {
	defer close(w.done)
	var batch bytes.Buffer
	for {
		select {
		case line := <-w.queue:
			batch.Write(line)
		case <-ctx.Done():
			w.drainQueue(&batch)
			w.flush(&batch)
			return
		}
		select {
		case <-time.After(batchInterval):
		case <-ctx.Done():
		}
		w.drainQueue(&batch)
		w.flush(&batch)
	}
}

// drainQueue moves the queued lines to batch without blocking.
func (w *Writer) drainQueue(batch *bytes.Buffer) {
	for {
		select {
		case line := <-w.queue:
			batch.Write(line)
		default:
			return
		}
	}
}

// flush writes the batch. If that fails the lines are lost, and only the count of
// dropped lines shows it.
func (w *Writer) flush(batch *bytes.Buffer) {
	if batch.Len() == 0 {
		return
	}
	if _, err := w.To.Write(batch.Bytes()); err != nil {
		w.dropped.Add(uint64(bytes.Count(batch.Bytes(), []byte{'\n'})))
	}
	batch.Reset()
}
