package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// host is the host of all routes.
const host = "probe.example"

// attempt is one request of a consumer with what came of it.
type attempt struct {
	id       string
	path     string
	sentAt   time.Time
	limit    time.Duration // the consumer's time limit or the route's timeout, whichever is less
	endedAt  time.Time     // when it was answered or its connection ended
	status   int           // zero: no answer
	complete bool          // the whole answer has come
	signed   bool          // the answer is an instance's
	err      error         // why it is not complete
}

// consumer is one connection of a consumer. Requests may be sent before the earlier ones
// are answered, until an answer says that the connection closes.
type consumer struct {
	log  *record
	name string
	conn net.Conn
	done chan struct{} // closed when no answer can come any more

	mu      sync.Mutex
	sent    []*attempt
	closing bool // an answer has said so, or the connection has ended
}

// lastID numbers the attempts of a run.
var lastID atomic.Uint64

// newID returns the ID of a new attempt.
func newID() string { return fmt.Sprintf("%08x%08x", time.Now().UnixNano()&0xffffffff, lastID.Add(1)) }

// newConsumer connects over a line with consumerDelay.
func newConsumer(log *record, name, address string) (*consumer, error) {
	return newSlowConsumer(log, name, address, 0)
}

// newSlowConsumer is newConsumer over a line that carries rate bytes of answers a second;
// zero: as they come.
func newSlowConsumer(log *record, name, address string, rate int) (*consumer, error) {
	conn, err := dialDelayed(address, rate)
	if err != nil {
		return nil, err
	}
	c := &consumer{log: log, name: name, conn: conn, done: make(chan struct{})}
	go c.readAnswers()
	return c, nil
}

// get sends a GET, and reports false if the connection may not be used any more.
func (c *consumer) get(path string, limit time.Duration) (*attempt, bool) {
	return c.send("GET", path, limit, nil)
}

// send sends a request, and reports false if the connection may not be used any more.
func (c *consumer) send(method, path string, limit time.Duration, body []byte) (*attempt, bool) {
	return c.begin(method, path, limit, len(body), body)
}

// begin sends the head of a request with a body of some length, and the beginning of that.
func (c *consumer) begin(method, path string, limit time.Duration, length int, body []byte) (*attempt, bool) {
	a := &attempt{id: newID(), path: path, sentAt: time.Now(), limit: limit}
	c.mu.Lock()
	if c.closing {
		c.mu.Unlock()
		return nil, false
	}
	c.sent = append(c.sent, a)
	waiting := c.waiting()
	c.mu.Unlock()
	c.log.add("%s sends %s %s %s, %d before it unanswered", c.name, method, path, a.id, waiting-1)
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n", method, path, host, headerID, a.id, headerDeadline, limit.Milliseconds())
	if keyed := strings.HasPrefix(path, "/guide/"); keyed {
		head += fmt.Sprintf("%s: %d\r\n", headerKey, rand.N(lastKey+1))
	}
	if length > 0 {
		head += fmt.Sprintf("Content-Length: %d\r\n", length)
	}
	if _, err := c.conn.Write(append([]byte(head+"\r\n"), body...)); err != nil {
		c.log.add("%s cannot send all of %s: %v", c.name, a.id, err)
	}
	return a, true
}

// waiting returns how many attempts have no whole answer. The caller holds mu.
func (c *consumer) waiting() int {
	n := 0
	for _, a := range c.sent {
		if !a.complete {
			n++
		}
	}
	return n
}

// attempts returns all that was sent. Nothing is added to them any more.
func (c *consumer) attempts() []*attempt {
	c.conn.Close()
	<-c.done
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sent
}

// next returns the first attempt without an answer, nil if there is none.
func (c *consumer) next() *attempt {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, a := range c.sent {
		if !a.complete && a.err == nil {
			return a
		}
	}
	return nil
}

// isOver reports whether the time for an attempt had passed as it ended.
func (a *attempt) isOver() bool { return a.endedAt.Sub(a.sentAt) >= a.limit-limitMargin }

// limitMargin is for the way of an answer.
const limitMargin = 100 * time.Millisecond

// errClosed is why a request has no answer if its connection was closed.
var errClosed = errors.New("the connection was closed without an answer")

// readAnswers reads the answers in the order of the requests.
func (c *consumer) readAnswers() {
	defer close(c.done)
	r := bufio.NewReader(c.conn)
	for c.readAnswer(r) {
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closing = true
	for _, a := range c.sent {
		if !a.complete && a.err == nil {
			a.err, a.endedAt = errClosed, time.Now()
			c.log.add("%s: the connection ends without an answer to %s", c.name, a.id)
		}
	}
}

// readAnswer reads one answer and reports whether another may follow.
func (c *consumer) readAnswer(r *bufio.Reader) bool {
	res, err := http.ReadResponse(r, nil)
	if err != nil {
		return false
	}
	c.mu.Lock()
	c.closing = c.closing || res.Close
	c.mu.Unlock()
	a := c.next()
	if a == nil {
		c.log.add("%s gets an answer that nobody waits for: %s", c.name, res.Status)
		return false
	}
	n, err := io.Copy(io.Discard, res.Body)
	c.mu.Lock()
	defer c.mu.Unlock()
	a.endedAt = time.Now()
	a.status, a.signed = res.StatusCode, res.Header.Get(headerSignature) != ""
	if err == nil && res.Header.Get(headerID) != a.id {
		err = fmt.Errorf("the answer is to %q", res.Header.Get(headerID))
	}
	if err != nil {
		a.err = err
		c.log.add("%s gets a part of the answer to %s: %d, %d bytes: %v", c.name, a.id, a.status, n, err)
		return false
	}
	a.complete = true
	c.log.add("%s gets %d to %s, %d bytes, closing %v", c.name, a.status, a.id, n, res.Close)
	return !res.Close
}
