package forwarder

import (
	"errors"
	"io"
	"sync"
)

// rewindableBody is the body of a request, which each attempt reads from its beginning
// with a reader of its own. It buffers a short body for that.
//
// The goroutine that sends the body of an attempt may still wait for the caller when that
// attempt has failed. What it then reads belongs to the next attempt.
type rewindableBody struct {
	src io.Reader

	mu       sync.Mutex
	readDone sync.Cond // signaled when a read of src has ended
	reader   *bodyReader
	reading  bool // a read of src is running
	buf      []byte
	overflow bool  // more was read than is buffered
	err      error // of the last read of src
}

func newRewindableBody(src io.Reader) *rewindableBody {
	b := &rewindableBody{src: src}
	b.readDone.L = &b.mu
	return b
}

// newReader returns the reader of the next attempt. Those before it are stopped.
func (b *rewindableBody) newReader() *bodyReader {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.reader = &bodyReader{body: b}
	b.readDone.Broadcast()
	return b.reader
}

// stop stops the reader of the last attempt, and reports whether all that was read is
// buffered, so that the body can be read again.
func (b *rewindableBody) stop() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.reader = nil
	b.readDone.Broadcast()
	return !b.overflow
}

// keep records the result of a read of src. Only what the present reader has got need not
// be buffered.
func (b *rewindableBody) keep(p []byte, err error, delivered bool) {
	b.reading = false
	b.err = err
	b.readDone.Broadcast()
	if delivered && len(b.buf)+len(p) > maxBufferedBody {
		b.overflow = true
	}
	if !delivered || !b.overflow {
		b.buf = append(b.buf, p...)
	}
}

// bodyReader reads a body for one attempt.
type bodyReader struct {
	body *rewindableBody
	pos  int // in the buffer of body
}

// errAttemptEnded is the error of a read for an attempt that has ended.
var errAttemptEnded = errors.New("the attempt has ended")

// Read implements io.Reader.
func (r *bodyReader) Read(p []byte) (int, error) {
	b := r.body
	b.mu.Lock()
	defer b.mu.Unlock()
	for b.reader == r && r.pos == len(b.buf) && b.reading {
		b.readDone.Wait()
	}
	switch {
	case b.reader != r:
		return 0, errAttemptEnded
	case r.pos < len(b.buf):
		n := copy(p, b.buf[r.pos:])
		r.pos += n
		return n, nil
	case b.err != nil:
		return 0, b.err
	}
	return r.readSource(p)
}

// readSource reads from src. The caller holds mu, which is free during the read.
func (r *bodyReader) readSource(p []byte) (int, error) {
	b := r.body
	b.reading = true
	b.mu.Unlock()
	n, err := b.src.Read(p)
	b.mu.Lock()
	delivered := b.reader == r
	b.keep(p[:n], err, delivered)
	if !delivered {
		return 0, errAttemptEnded
	}
	r.pos = len(b.buf)
	return n, err
}
