package acceptor

import (
	"bytes"
	"errors"
	"io"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// errBodyEnded is the error of a handler that reads after it has returned.
var errBodyEnded = errors.New("the request has ended")

// errTooLarge is the error if a body without a length exceeds the limit.
var errTooLarge = errors.New("the body is larger than operators allow")

// body is the body of a request. What the handler does not read is discarded, so
// that the next request can be read.
type body struct {
	src          io.ReadCloser
	limit        int64
	conn         *conn
	sendContinue func() error // nil: no 100 Continue is due
	ahead        *readAhead   // nil: the handler reads src itself
	once         sync.Once
	done         chan struct{} // closed when the handler has returned, or the body has ended or failed
	closed       atomic.Bool   // further reads by the handler fail

	mu        sync.Mutex // held while src is read
	bytesRead int64
	readErr   error // of the last read of src; io.EOF: complete
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	if b.ahead != nil {
		return b.ahead.Read(p)
	}
	return b.readSource(p)
}

// readSource reads from src.
func (b *body) readSource(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.readErr == io.EOF {
		return 0, io.EOF
	}
	if b.closed.Load() {
		return 0, io.ErrClosedPipe
	}
	if b.sendContinue != nil {
		sendContinue := b.sendContinue
		b.sendContinue = nil
		if err := sendContinue(); err != nil {
			return 0, err
		}
	}
	n, err := b.src.Read(p)
	b.bytesRead += int64(n)
	if err == nil && b.bytesRead > b.limit {
		err = errTooLarge
	}
	if err != nil {
		b.readErr = err
		b.markDone()
		if b.isDisconnect(err) {
			b.conn.cancel()
		}
	}
	return n, err
}

// isDisconnect reports whether a read error means that the caller has
// disconnected. A caller that is only slow can still be answered.
func (b *body) isDisconnect(err error) bool {
	return err != io.EOF && err != errTooLarge && !errors.Is(err, os.ErrDeadlineExceeded) && !b.closed.Load()
}

// isComplete reports whether the body has been read to its end.
func (b *body) isComplete() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.readErr == io.EOF
}

// markDone records that the handler does not read on, or that all has been read.
func (b *body) markDone() {
	b.once.Do(func() { close(b.done) })
}

// endHandler records that the handler has returned. A read of src that is running
// then belongs to nobody, so it ends within discardTimeout.
func (b *body) endHandler() {
	b.markDone()
	if b.ahead == nil {
		return
	}
	b.ahead.end(func() {
		if err := b.conn.raw.SetReadDeadline(time.Now().Add(discardTimeout)); err != nil {
			b.conn.cancel()
		}
	})
}

// startReadAhead makes the connection's reader read the body from now on. A body
// that awaits a 100 Continue, or has been read, is left to the handler.
func (b *body) startReadAhead() {
	if b.sendContinue == nil && !b.isComplete() {
		b.ahead = newReadAhead(b.conn.account)
	}
}

// pump reads the body ahead until it ends or fails, or the handler has returned.
func (b *body) pump() {
	if b.ahead == nil {
		return
	}
	chunk := make([]byte, pumpChunkSize)
	for {
		n, err := b.readSource(chunk)
		if !b.ahead.add(chunk[:n], err) {
			break
		}
	}
	b.ahead.finish()
}

// pumpChunkSize is the most that is read ahead at once, in bytes.
const pumpChunkSize = 16 << 10

// discardRest waits for done, discards the rest of the body, and reports whether
// the body has been read to its end.
func (b *body) discardRest() bool {
	<-b.done
	b.closed.Store(true)
	// A read that is still running belongs to a request that was abandoned.
	if err := b.conn.raw.SetReadDeadline(time.Now().Add(discardTimeout)); err != nil {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.sendContinue != nil {
		return false // the caller may or may not send the body
	}
	if b.readErr == nil {
		_, b.readErr = io.Copy(io.Discard, io.LimitReader(b.src, b.limit))
		return b.readErr == nil && b.atEOF()
	}
	return b.readErr == io.EOF
}

// atEOF reports whether the body has ended. The caller holds mu.
func (b *body) atEOF() bool {
	var one [1]byte
	_, err := b.src.Read(one[:])
	return err == io.EOF
}

// awaitedBody is a body that awaits a 100 Continue. The first read reads its beginning and
// sets the fingerprint of its request.
type awaitedBody struct {
	exchange *exchange
	src      io.Reader // nil before the first read
	err      error     // of the first read
}

// Read implements io.Reader.
func (b *awaitedBody) Read(p []byte) (int, error) {
	if b.src == nil && b.err == nil {
		b.start()
	}
	if b.err != nil {
		return 0, b.err
	}
	return b.src.Read(p)
}

func (b *awaitedBody) start() {
	x := b.exchange
	if b.err = x.readPrefix(); b.err != nil {
		return
	}
	x.request.SetFingerprint(x.prefix)
	b.src = io.MultiReader(bytes.NewReader(x.prefix), x.body)
}
