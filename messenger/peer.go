package messenger

import (
	"bufio"
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"pimentorelay.example/pimento"
)

// peer is the connection to one other process.
type peer struct {
	m       *Messenger
	process pimento.Process

	dialing sync.Mutex // held while the peer is dialed

	mu       sync.Mutex
	conn     *outgoing // nil: none
	redialAt time.Time // no dial before this time; set by a failed dial
	closed   bool
}

// outgoing is an open connection with its pending calls.
type outgoing struct {
	out writer

	mu         sync.Mutex
	lastCall   uint64
	pending    map[uint64]chan *Message
	receivedAt time.Time
	err        error // set when the connection has ended
	ended      chan struct{}
}

var (
	errRedialPause = errors.New("the last dial failed just now")
	errPingTimeout = errors.New("the peer does not answer pings")
)

func (m *Messenger) peer(p pimento.Process) *peer {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.peers == nil {
		m.peers = make(map[pimento.ProcessID]*peer)
	}
	x, ok := m.peers[p.ID]
	if !ok {
		x = &peer{m: m, process: p}
		m.peers[p.ID] = x
	}
	return x
}

// Forget ends the connection to a process that has ended.
func (m *Messenger) Forget(id pimento.ProcessID) {
	m.mu.Lock()
	p, ok := m.peers[id]
	delete(m.peers, id)
	m.mu.Unlock()
	if ok {
		p.close()
	}
}

func (p *peer) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	if p.conn != nil {
		p.conn.fail(net.ErrClosed)
	}
}

// Call sends a message and waits for its reply. If ctx ends first, the peer is
// sent a Cancel.
func (m *Messenger) Call(ctx context.Context, to pimento.Process, msg *Message) (*Message, error) {
	conn, err := m.peer(to).connect(ctx)
	if err != nil {
		return nil, &pimento.UnreachableError{Target: string(to.ID), Cause: err}
	}
	call, replies := conn.addCall()
	defer conn.removeCall(call)
	msg.Call = call
	msg, err = msg.sealed(to.Token)
	if err != nil {
		return nil, &pimento.UnreachableError{Target: string(to.ID), Cause: err, Unsent: true}
	}
	if err := conn.write(msg); err != nil {
		return nil, &pimento.UnreachableError{Target: string(to.ID), Cause: err, Unsent: isUnsent(err)}
	}
	timer := time.NewTimer(pingAfter)
	defer timer.Stop()
	var pingedAt time.Time
	for {
		select {
		case reply := <-replies:
			return reply, nil
		case <-conn.ended:
			select {
			case reply := <-replies:
				return reply, nil
			default:
			}
			return nil, &pimento.UnreachableError{Target: string(to.ID), Cause: conn.err}
		case <-ctx.Done():
			if err := conn.out.write(&Message{Call: call, Cancel: true}); err != nil {
				conn.fail(err)
			}
			return nil, ctx.Err()
		case <-timer.C:
			pingedAt = conn.probe(pingedAt)
			timer.Reset(pongTimeout)
		}
	}
}

// Send sends a message that expects no reply.
func (m *Messenger) Send(ctx context.Context, to pimento.Process, msg *Message) error {
	conn, err := m.peer(to).connect(ctx)
	if err != nil {
		return &pimento.UnreachableError{Target: string(to.ID), Cause: err}
	}
	if err := conn.write(msg); err != nil {
		return &pimento.UnreachableError{Target: string(to.ID), Cause: err, Unsent: isUnsent(err)}
	}
	return nil
}

// connect returns the open connection or dials. Callers that waited for a failed
// dial do not dial again.
func (p *peer) connect(ctx context.Context) (*outgoing, error) {
	if conn, err := p.openConn(); conn != nil || err != nil {
		return conn, err
	}
	p.dialing.Lock()
	defer p.dialing.Unlock()
	if conn, err := p.openConn(); conn != nil || err != nil {
		return conn, err
	}
	conn, r, err := p.dial(ctx)
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil {
		if ctx.Err() == nil {
			p.redialAt = time.Now().Add(redialPause)
		}
		return nil, err
	}
	if p.closed {
		conn.fail(net.ErrClosed)
		return nil, net.ErrClosed
	}
	p.conn = conn
	go conn.readReplies(r)
	return conn, nil
}

// openConn returns the open connection, or nil without an error if there is none
// and the peer may be dialed.
func (p *peer) openConn() (*outgoing, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, net.ErrClosed
	}
	if p.conn != nil {
		select {
		case <-p.conn.ended:
			p.conn = nil
		default:
			return p.conn, nil
		}
	}
	if time.Now().Before(p.redialAt) {
		return nil, errRedialPause
	}
	return nil, nil
}

func (p *peer) dial(ctx context.Context) (*outgoing, *bufio.Reader, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	d := net.Dialer{Control: setUserTimeout}
	raw, err := d.DialContext(ctx, "tcp", p.process.Peer.String())
	if err != nil {
		return nil, nil, err
	}
	conn := &outgoing{
		out: writer{conn: raw}, pending: make(map[uint64]chan *Message),
		receivedAt: time.Now(), ended: make(chan struct{}),
	}
	hello := &Hello{From: p.m.Self, To: p.process.ID, Token: p.process.Token}
	if err := conn.out.write(&Message{Hello: hello}); err != nil {
		raw.Close()
		return nil, nil, err
	}
	return conn, bufio.NewReaderSize(raw, bufferSize), nil
}

// setUserTimeout makes the kernel end a connection whose data is not
// acknowledged within writeTimeout.
func setUserTimeout(_, _ string, c syscall.RawConn) error {
	var sockErr error
	err := c.Control(func(fd uintptr) {
		sockErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(writeTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return sockErr
}

// addCall registers a call, and returns its number and the channel of its reply.
func (o *outgoing) addCall() (uint64, chan *Message) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.lastCall++
	replies := make(chan *Message, 1)
	o.pending[o.lastCall] = replies
	return o.lastCall, replies
}

func (o *outgoing) removeCall(call uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.pending, call)
}

// probe pings the peer, or ends the connection if nothing was received since the
// ping at pingedAt. It returns the time of the latest ping.
func (o *outgoing) probe(pingedAt time.Time) time.Time {
	o.mu.Lock()
	silent := !pingedAt.IsZero() && o.receivedAt.Before(pingedAt)
	o.mu.Unlock()
	if silent {
		o.fail(errPingTimeout)
		return pingedAt
	}
	call, _ := o.addCall()
	now := time.Now() // before the write: the reply may arrive before it returns
	if err := o.out.write(&Message{Call: call, Ping: &Ping{}}); err != nil {
		o.fail(err)
	}
	return now
}

// readReplies delivers replies to their calls until the connection ends.
func (o *outgoing) readReplies(r *bufio.Reader) {
	for {
		m, err := readFrame(r)
		if err != nil {
			o.fail(err)
			return
		}
		o.mu.Lock()
		o.receivedAt = time.Now()
		replies, ok := o.pending[m.Call]
		delete(o.pending, m.Call)
		o.mu.Unlock()
		if ok && m.Reply {
			replies <- m
		}
	}
}

// write writes a message, and ends the connection if that fails.
func (o *outgoing) write(m *Message) error {
	if err := o.out.write(m); err != nil {
		if !isUnsent(err) {
			o.fail(err)
		}
		return err
	}
	return nil
}

// fail ends the connection and every call on it.
func (o *outgoing) fail(err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.err == nil {
		o.err = err
		close(o.ended)
	}
	o.out.conn.Close()
}
