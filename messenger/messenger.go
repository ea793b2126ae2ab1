// Package messenger carries messages between the processes of the system over
// TCP.
//
// Each process keeps one connection to every process that it has something to
// say to. Calls on it are numbered and run beside each other. A process that
// is killed resets its connections, so that its callers know at once; one that
// falls silent is found out by pings while a call waits.
//
// # Usage
//
//	m := &messenger.Messenger{Self: self, Handler: h}
//	go m.Run(ctx)
//	reply, err := m.Call(ctx, peer, &messenger.Message{Acquire: a})
//	err = m.Send(peer, &messenger.Message{Done: d})
//
// An error of Call is an *pimento.UnreachableError, or ctx's own.
package messenger

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"pimentorelay.example/pimento"
)

const (
	// dialTimeout bounds a new connection.
	dialTimeout = 400 * time.Millisecond
	// redialPause is how long a peer that could not be dialed is not dialed
	// again, so that requests for it go elsewhere at once.
	redialPause = 150 * time.Millisecond
	// pingAfter is how long a call waits until its connection is tested.
	pingAfter = 250 * time.Millisecond
	// pongTimeout is how long a connection may stay silent after a ping.
	pongTimeout = 400 * time.Millisecond
	// helloTimeout bounds the first message of a connection.
	helloTimeout = 2 * time.Second
	// writeTimeout bounds a write, so that a peer that reads nothing blocks
	// nobody for long.
	writeTimeout = 2 * time.Second
	// bufferSize is that of the read buffer in bytes.
	bufferSize = 4 << 10
)

// Link is one connection from a peer.
type Link struct {
	Peer pimento.Process
	conn net.Conn
	out  writer
}

// Handler takes messages of peers. Its methods run on the connection's own
// goroutine and must not wait; reply may be called later, from anywhere.
type Handler interface {
	// Handle takes a message. reply is nil where none is wanted.
	Handle(from *Link, m *Message, reply func(*Message))
	// Canceled says that the caller of an earlier message waits no more.
	Canceled(from *Link, call uint64)
	// Closed says that nothing more comes from a link.
	Closed(from *Link)
}

// Messenger is the connections of one process. Set the exported fields before
// Run.
type Messenger struct {
	Self    pimento.Process
	Handler Handler

	mu    sync.Mutex
	peers map[pimento.ProcessID]*peer
	links map[*Link]bool
}

// Run accepts connections until ctx ends.
func (m *Messenger) Run(ctx context.Context, l net.Listener) error {
	stop := context.AfterFunc(ctx, func() { l.Close() })
	defer stop()
	defer m.closeAll()
	for {
		conn, err := l.Accept()
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if errors.Is(err, net.ErrClosed) {
			return fmt.Errorf("Messenger.Run: %w", err)
		}
		if err != nil { // such as no descriptors left
			time.Sleep(acceptPause)
			continue
		}
		go m.serve(conn)
	}
}

// acceptPause is the time after an accept that failed.
const acceptPause = 5 * time.Millisecond

func (m *Messenger) closeAll() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for l := range m.links {
		l.conn.Close()
	}
	for _, p := range m.peers {
		p.close()
	}
}

// serve takes the messages of one connection.
func (m *Messenger) serve(conn net.Conn) {
	defer conn.Close()
	if err := conn.SetReadDeadline(time.Now().Add(helloTimeout)); err != nil {
		return
	}
	r := bufio.NewReaderSize(conn, bufferSize)
	first, err := readFrame(r)
	if err != nil || first.Hello == nil || first.Hello.To != m.Self.ID || first.Hello.Token != m.Self.Token {
		return
	}
	if err := conn.SetReadDeadline(time.Time{}); err != nil {
		return
	}
	l := &Link{Peer: first.Hello.From, conn: conn, out: writer{conn: conn}}
	m.mu.Lock()
	if m.links == nil {
		m.links = make(map[*Link]bool)
	}
	m.links[l] = true
	m.mu.Unlock()
	defer func() {
		m.mu.Lock()
		delete(m.links, l)
		m.mu.Unlock()
		m.Handler.Closed(l)
	}()
	for {
		msg, err := readFrame(r)
		if err != nil {
			return
		}
		m.take(l, msg)
	}
}

// take hands a message to the handler, or answers a ping.
func (m *Messenger) take(l *Link, msg *Message) {
	if msg.Cancel {
		m.Handler.Canceled(l, msg.Call)
		return
	}
	var reply func(*Message)
	if call := msg.Call; call != 0 {
		reply = func(answer *Message) {
			answer.Call, answer.Reply = call, true
			if l.out.write(answer) != nil {
				l.conn.Close() // the peer finds out by that
			}
		}
	}
	if msg.Ping != nil {
		if reply != nil {
			reply(&Message{Ping: &Ping{}})
		}
		return
	}
	m.Handler.Handle(l, msg, reply)
}

// writer writes whole frames.
type writer struct {
	mu   sync.Mutex
	conn net.Conn
}

func (w *writer) write(m *Message) error {
	frame, err := appendFrame(m)
	if err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	_, err = w.conn.Write(frame)
	return err
}
