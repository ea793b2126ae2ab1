// Package acceptor serves callers over HTTP/1.1.
//
// Callers may pipeline requests: these run concurrently, and their answers are
// sent in the order of the requests. A caller that closes its connection cancels
// all of its requests, also while more of them wait. The server of net/http reads
// the next request only when the previous one is answered, which is why the
// connections are served here; messages are still parsed by net/http.
//
// If an answer is truncated, its connection is closed, so that a part cannot pass
// as complete. The unread rest of a request's body is discarded, since a
// connection that is closed with unread bytes is reset and may lose its answer.
//
// # Usage
//
//	a := &acceptor.Acceptor{Handler: h, Wire: platform.Wire{}, Limits: limits}
//	go a.Serve(ctx, listener)
//	a.Drain()         // answers now close their connections
//	a.StopAccepting() // no new connections; idle ones are closed
//	for a.Active() > 0 || a.IsDelivering() { ... }
//	a.EndRequests()   // those left are told
package acceptor

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"pimentorelay.example/pimento"
	"pimentorelay.example/pimento/meter"
)

const (
	// maxPipelined is the length of a connection's request queue, which bounds how
	// many of its requests run at once.
	maxPipelined = 64
	// bufferSize is the size of the read and write buffers in bytes.
	bufferSize = 4 << 10
	// lingerTimeout is how long a connection must have no input after its last
	// answer before it is closed.
	lingerTimeout = time.Second
	// discardTimeout bounds the discarding of the unread rest of a body.
	discardTimeout = 5 * time.Second
	// bodyPrefixSize is the maximum number of bytes of a body that are read before
	// the request runs.
	bodyPrefixSize = 64 << 10
	// limitsRetryAfter is the time after which callers should retry while the limits may
	// be too old.
	limitsRetryAfter = 500 * time.Millisecond
	// noLimit is a limit that no message reaches, in bytes.
	noLimit = 1 << 62
	// writeTimeout bounds the writing of an answer, so that a caller that does not
	// read it cannot hold its connection.
	writeTimeout = 20 * time.Second
)

// Handler runs requests. The answer's Body must be read or closed before ctx
// ends; the error is a *pimento.OutcomeError.
type Handler interface {
	Handle(ctx context.Context, r *pimento.Request, body io.Reader) (pimento.Answer, error)
}

// Acceptor serves the connections of callers. Set the exported fields before
// Serve.
type Acceptor struct {
	Handler Handler
	Wire    pimento.CallerWire
	// Limits returns what callers may send now.
	Limits func() pimento.Limits
	// IsCurrent reports whether Limits contain every change that had to be in force at a
	// moment; nil: always. Requests above limits that may be too old are not refused for
	// good.
	IsCurrent func(at time.Time) bool
	// Budget bounds the memory that callers take; nil: nothing does.
	Budget *meter.Budget
	// MaxConnections bounds the connections of callers. Another one takes the place of the
	// one that is idle for longest. Zero: there is no bound.
	MaxConnections int
	// Delay returns how long the messages between processes have recently waited here; nil:
	// they never do.
	Delay func() time.Duration
	// OnReplaced is called for each connection that is closed for another one, or refused;
	// it may be nil.
	OnReplaced func()
	// OnRefused is called for requests that are refused before they reach the
	// Handler; it may be nil.
	OnRefused func(r *pimento.Request, outcome *pimento.OutcomeError)
	// OnTruncated is called for answers that did not reach their callers in full,
	// because the caller disconnected or the answer was truncated; it may be nil.
	OnTruncated func(r *pimento.Request, err error)

	once     sync.Once
	requests context.Context // ended by EndRequests
	endAll   context.CancelCauseFunc

	pacer pacer

	mu       sync.Mutex
	listener net.Listener
	conns    map[*conn]bool
	draining atomic.Bool
	stopped  atomic.Bool
	active   atomic.Int64 // requests whose answer is not complete
}

func (a *Acceptor) init() {
	a.once.Do(func() { a.requests, a.endAll = context.WithCancelCause(context.Background()) })
}

// Serve accepts connections until ctx ends or the listener is closed. It
// retries after other errors. After StopAccepting, it returns only when ctx ends.
func (a *Acceptor) Serve(ctx context.Context, l net.Listener) error {
	a.init()
	stop := context.AfterFunc(ctx, func() { l.Close() })
	defer stop()
	a.mu.Lock()
	a.listener = l
	a.mu.Unlock()
	for {
		raw, err := l.Accept()
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if errors.Is(err, net.ErrClosed) && a.stopped.Load() {
			<-ctx.Done()
			return ctx.Err()
		}
		if errors.Is(err, net.ErrClosed) {
			return err
		}
		if err != nil { // such as no file descriptors left
			time.Sleep(acceptRetryDelay)
			continue
		}
		a.serveConn(ctx, raw)
	}
}

// acceptRetryDelay is the pause after a failed accept.
const acceptRetryDelay = 5 * time.Millisecond

func (a *Acceptor) serveConn(ctx context.Context, raw net.Conn) {
	c := newConn(ctx, a, raw)
	if !a.admit(c) {
		raw.Close()
		c.cancel()
		return
	}
	go c.writeAnswers()
	go func() {
		c.readRequests()
		a.remove(c)
		<-c.writerDone
		c.account.Close()
	}()
}

// admit adds a connection, and reports whether there is room for it. If there is not, it takes
// the place of one that is idle.
func (a *Acceptor) admit(c *conn) bool {
	a.mu.Lock()
	full := a.MaxConnections > 0 && len(a.conns) >= a.MaxConnections
	a.mu.Unlock()
	if full && !a.closeIdlest() {
		a.noteReplaced()
		return false
	}
	c.account = a.Budget.Open(c.evict)
	for !c.account.Reserve(connCost) {
		if !a.closeIdlest() {
			c.account.Close()
			a.noteReplaced()
			return false
		}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.conns == nil {
		a.conns = make(map[*conn]bool)
	}
	a.conns[c] = true
	return true
}

// closeIdlest closes the connection that is idle for longest, and reports whether there was one.
func (a *Acceptor) closeIdlest() bool {
	a.mu.Lock()
	var idlest *conn
	var since time.Time
	for c := range a.conns {
		if at, ok := c.idle(); ok && (idlest == nil || at.Before(since)) {
			idlest, since = c, at
		}
	}
	if idlest != nil {
		delete(a.conns, idlest)
	}
	a.mu.Unlock()
	if idlest == nil {
		return false
	}
	idlest.raw.Close()
	idlest.account.Close()
	a.noteReplaced()
	return true
}

func (a *Acceptor) noteReplaced() {
	if a.OnReplaced != nil {
		a.OnReplaced()
	}
}

// remove removes a connection that has ended.
func (a *Acceptor) remove(c *conn) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.conns, c)
}

// Drain makes every further answer close its connection unless another request
// is pending on it.
func (a *Acceptor) Drain() { a.draining.Store(true) }

// StopAccepting accepts no more connections and closes the idle ones. Requests
// that have been accepted are still answered.
func (a *Acceptor) StopAccepting() {
	a.stopped.Store(true)
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.listener != nil {
		a.listener.Close()
	}
	for c := range a.conns {
		c.closeIdle()
	}
}

// EndRequests ends the contexts of all requests with the cause ErrStopping, so that
// their callers are told whether they may have run.
func (a *Acceptor) EndRequests() {
	a.init()
	a.endAll(pimento.ErrStopping)
}

// Abort closes all connections at once.
func (a *Acceptor) Abort() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for c := range a.conns {
		c.raw.Close()
	}
}

// Active returns the number of requests whose answer is not complete, including
// requests that have arrived only in part.
func (a *Acceptor) Active() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := int(a.active.Load())
	for c := range a.conns {
		if c.isReading() {
			n++
		}
	}
	return n
}

// Connections returns the number of open connections.
func (a *Acceptor) Connections() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.conns)
}
