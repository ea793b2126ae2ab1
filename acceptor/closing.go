package acceptor

import (
	"errors"
	"os"
	"time"
)

// linger discards input until the last answer has been delivered and lingerTimeout
// passes without input. A caller that disconnects meanwhile cancels its requests.
func (c *conn) linger() {
	c.head.end()
	for {
		if err := c.raw.SetReadDeadline(time.Now().Add(lingerTimeout)); err != nil {
			return
		}
		_, err := c.r.Discard(max(1, c.r.Buffered()))
		if err == nil {
			continue
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return
		}
		select {
		case <-c.writerDone:
			if c.isDelivered() {
				return
			}
		default:
		}
	}
}

// recheckRequest checks once more for a request on a connection that is about to
// be closed, since an expired read deadline fails a read even if input has
// arrived.
func (c *conn) recheckRequest() bool {
	if err := c.raw.SetReadDeadline(time.Now().Add(recheckTimeout)); err != nil {
		return false
	}
	if _, err := c.r.Peek(1); err != nil {
		return false
	}
	return c.setReading()
}

// recheckTimeout bounds recheckRequest. It leaves time for one wake-up of the
// reading goroutine.
const recheckTimeout = 5 * time.Millisecond

// closeIdle closes the connection if no request is pending on it or arriving, unless its end
// has begun.
func (c *conn) closeIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closeWhenIdle = true
	if c.pending == 0 && !c.reading && !c.closing {
		// A read deadline in the past ends the wait for the next request.
		if err := c.raw.SetReadDeadline(time.Unix(1, 0)); err != nil {
			c.raw.Close()
		}
	}
}

// beginAnswer reports whether an answer is the last one of its connection: its request was
// marked as that, or the process is draining and no other request is pending or arriving.
// No request is read any more then. The reader marks requests that it reads while draining
// as last, so that a caller that keeps sending is not served forever.
func (c *conn) beginAnswer(x *exchange) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if x.last || c.acceptor.draining.Load() && c.pending <= 1 && !c.reading {
		c.closing = true
	}
	return c.closing
}

// closeWrite closes the write side of the connection after its last answer.
func (c *conn) closeWrite() {
	if closer, ok := c.raw.(interface{ CloseWrite() error }); ok {
		if err := closer.CloseWrite(); err != nil {
			c.raw.Close()
			return
		}
	}
	if err := c.raw.SetReadDeadline(time.Now().Add(lingerTimeout)); err != nil {
		c.raw.Close()
	}
}
