// Package messenger carries messages between the processes of the system over
// TCP.
//
// Each process keeps one connection to every process that it sends messages to.
// Calls on it are numbered and run concurrently. If a process is killed, its
// connections are reset and its callers fail at once; one that falls silent is
// detected by pings while a call waits.
//
// # Usage
//
//	m := &messenger.Messenger{Self: self, Handler: h}
//	go m.Run(ctx, listener)
//	reply, err := m.Call(ctx, peer, &messenger.Message{Acquire: a})
//	err = m.Send(ctx, peer, &messenger.Message{Done: d})
//
// The error of Call is a *pimento.UnreachableError or that of ctx.
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
	// dialTimeout bounds dialing a peer.
	dialTimeout = 400 * time.Millisecond
	// redialPause is how long a peer is not dialed again after a failed dial, so
	// that requests for it are sent elsewhere at once.
	redialPause = 150 * time.Millisecond
	// pingAfter is how long a call waits for its reply before the first ping.
	pingAfter = 250 * time.Millisecond
	// pongTimeout is how long a connection may stay silent after a ping.
	pongTimeout = 400 * time.Millisecond
	// helloTimeout bounds the wait for the first message of a connection.
	helloTimeout = 2 * time.Second
	// writeTimeout bounds a write, so that a peer that does not read cannot block
	// its callers for long.
	writeTimeout = 2 * time.Second
	// bufferSize is the size of the read buffer in bytes.
	bufferSize = 4 << 10
)

// Link is an incoming connection from a peer.
type Link struct {
	Peer pimento.Process
	conn net.Conn
	out  writer
}

// Handler handles messages of peers. Its methods run on the connection's own
// goroutine and must not block; reply may be called later, on any goroutine.
type Handler interface {
	// Handle handles a message. reply is nil if no reply is expected.
	Handle(from *Link, m *Message, reply func(*Message))
	// Canceled is called when the caller of an earlier message no longer waits.
	Canceled(from *Link, call uint64)
	// Closed is called when a link has ended.
	Closed(from *Link)
}

// Messenger holds the connections of one process. Set the exported fields before
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
		if err != nil { // such as no file descriptors left
			time.Sleep(acceptPause)
			continue
		}
		go m.serve(conn)
	}
}

// acceptPause is the pause after a failed accept.
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

// serve checks the Hello of a connection and handles its messages.
func (m *Messenger) serve(conn net.Conn) {
	defer conn.Close()
	if err := conn.SetReadDeadline(time.Now().Add(helloTimeout)); err != nil {
		return
	}
	r := bufio.NewReaderSize(conn, bufferSize)
	first, err := readFrameUpTo(r, maxHello)
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
		m.handleMessage(l, msg)
	}
}

// handleMessage passes a message to the handler, or answers a ping.
func (m *Messenger) handleMessage(l *Link, msg *Message) {
	if msg.Cancel {
		m.Handler.Canceled(l, msg.Call)
		return
	}
	var reply func(*Message)
	if call := msg.Call; call != 0 {
		reply = func(answer *Message) {
			answer.Call, answer.Reply = call, true
			err := l.out.write(answer)
			if isUnsent(err) {
				err = l.out.write(&Message{Call: call, Reply: true}) // the peer need not wait
			}
			if err != nil {
				l.conn.Close() // ends the peer's calls
			}
		}
	}
	if msg.Ping != nil {
		if reply != nil {
			reply(&Message{Ping: &Ping{}})
		}
		return
	}
	if err := msg.unseal(m.Self.Token); err != nil {
		l.conn.Close() // not from a process that has read the store
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
	frame, err := encodeFrame(m)
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
