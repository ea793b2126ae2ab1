// Package acceptor takes requests from callers over HTTP/1.1.
//
// Callers may send further requests before the first is answered: they run
// beside each other, and their answers leave in the order of the requests. A
// caller that closes its connection cancels all of its requests, also while
// more of them wait. net/http's server reads a next request only when the one
// before is answered, which is why the connections are served here; messages
// are still parsed by net/http.
//
// An answer that breaks off breaks its connection, so that a part cannot pass
// as whole. The rest of a body that nobody wants is read and dropped, since a
// connection that is closed with unread bytes is reset and may lose its answer.
//
// # Usage
//
//	a := &acceptor.Acceptor{Handler: h, Wire: platform.Wire{}, Limits: limits}
//	go a.Serve(ctx, listener)
//	a.Drain()      // answers now end their connections
//	a.Refuse()     // nothing new is taken
//	for a.Active() > 0 { ... }
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
)

const (
	// maxPipelined is the most requests of a connection that run at once.
	maxPipelined = 64
	// bufferSize is that of the read and write buffers in bytes.
	bufferSize = 4 << 10
	// lingerTimeout bounds how long the rest of a connection is read after its
	// last answer.
	lingerTimeout = time.Second
	// dropTimeout bounds how long the rest of a body is read that nobody wants.
	dropTimeout = 5 * time.Second
	// fetchSize is how much of a body in bytes is read before its request runs.
	fetchSize = 64 << 10
	// noLimit is a limit that no message reaches, in bytes.
	noLimit = 1 << 62
	// writeTimeout bounds the time in which a caller takes nothing of an answer.
	writeTimeout = 20 * time.Second
)

// Handler runs requests. The answer's Body must be read or closed before ctx
// ends; the error is an *pimento.OutcomeError.
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
	// OnRefused is told of requests that ended before they reached the
	// Handler; it may be nil.
	OnRefused func(r *pimento.Request, out *pimento.OutcomeError)
	// OnCut is told of answers that did not reach their callers whole, because
	// the caller left or the answer broke off; it may be nil.
	OnCut func(r *pimento.Request, err error)

	mu       sync.Mutex
	listener net.Listener
	conns    map[*conn]bool
	draining atomic.Bool
	refusing atomic.Bool
	active   atomic.Int64 // requests without a whole answer
}

// Serve accepts connections until ctx ends or the listener fails.
func (a *Acceptor) Serve(ctx context.Context, l net.Listener) error {
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
		if errors.Is(err, net.ErrClosed) && a.refusing.Load() {
			<-ctx.Done()
			return ctx.Err()
		}
		if errors.Is(err, net.ErrClosed) {
			return err
		}
		if err != nil { // such as no descriptors left
			time.Sleep(acceptPause)
			continue
		}
		a.start(ctx, raw)
	}
}

// acceptPause is the time after an accept that failed.
const acceptPause = 5 * time.Millisecond

func (a *Acceptor) start(ctx context.Context, raw net.Conn) {
	c := newConn(ctx, a, raw)
	a.mu.Lock()
	if a.conns == nil {
		a.conns = make(map[*conn]bool)
	}
	a.conns[c] = true
	a.mu.Unlock()
	go c.write()
	go func() {
		c.read()
		a.mu.Lock()
		delete(a.conns, c)
		a.mu.Unlock()
	}()
}

// Drain lets every further answer end its connection where no other request
// waits behind it.
func (a *Acceptor) Drain() { a.draining.Store(true) }

// Refuse takes no more connections and closes those on which no request runs.
// What was taken before is still answered.
func (a *Acceptor) Refuse() {
	a.refusing.Store(true)
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.listener != nil {
		a.listener.Close()
	}
	for c := range a.conns {
		c.closeIdle()
	}
}

// Abort closes all connections at once.
func (a *Acceptor) Abort() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for c := range a.conns {
		c.raw.Close()
	}
}

// Active returns how many requests have no whole answer yet, those that have
// begun to come included.
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

// Connections returns how many connections are open.
func (a *Acceptor) Connections() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.conns)
}
