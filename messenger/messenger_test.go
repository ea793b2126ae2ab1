package messenger

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"pimentorelay.example/pimento"
)

// testTimeout only ends a test that hangs.
const testTimeout = 30 * time.Second

// receiver is a Handler that replies at once, or lets the test reply.
type receiver struct {
	mu       sync.Mutex
	replies  []func(*Message) // of the received calls, in order
	received chan *Message
	canceled chan uint64
	closed   chan pimento.ProcessID
	hold     bool // the test replies
}

func newReceiver(hold bool) *receiver {
	return &receiver{received: make(chan *Message, 64), canceled: make(chan uint64, 64), closed: make(chan pimento.ProcessID, 64), hold: hold}
}

// Handle implements Handler.
func (h *receiver) Handle(_ *Link, m *Message, reply func(*Message)) {
	h.received <- m
	switch {
	case reply == nil:
	case h.hold:
		h.mu.Lock()
		defer h.mu.Unlock()
		h.replies = append(h.replies, reply)
	default:
		reply(&Message{Vote: &Vote{Epoch: m.Vote.Epoch + 1}})
	}
}

// Canceled implements Handler.
func (h *receiver) Canceled(_ *Link, call uint64) { h.canceled <- call }

// Closed implements Handler.
func (h *receiver) Closed(from *Link) { h.closed <- from.Peer.ID }

// reply returns the function that answers call number n, from 0.
func (h *receiver) reply(n int) func(*Message) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.replies[n]
}

// waitFor waits for a value.
func waitFor[T any](t *testing.T, c <-chan T) T {
	t.Helper()
	select {
	case v := <-c:
		return v
	case <-time.After(testTimeout):
		t.Fatal("timed out waiting for a value")
		panic("not reached")
	}
}

// process describes a process that listens at an address.
func process(id pimento.ProcessID, l net.Listener) pimento.Process {
	p := pimento.Process{ID: id, Token: "token-" + string(id)}
	if l != nil {
		p.Peer = netip.MustParseAddrPort(l.Addr().String())
	}
	return p
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return l
}

// startProcess runs a process with a handler until the test ends or stop is
// called.
func startProcess(t *testing.T, id pimento.ProcessID, h Handler) (p pimento.Process, stop func()) {
	t.Helper()
	l := listen(t)
	p = process(id, l)
	m := &Messenger{Self: p, Handler: h}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		if err := m.Run(ctx, l); !errors.Is(err, context.Canceled) {
			t.Error("Run:", err)
		}
	}()
	stop = func() { cancel(); <-ended }
	t.Cleanup(stop)
	return p, stop
}

// newCaller returns a Messenger that makes calls and accepts none.
func newCaller(t *testing.T) *Messenger {
	t.Helper()
	m := &Messenger{Self: process("caller", nil), Handler: newReceiver(false)}
	t.Cleanup(m.closeAll)
	return m
}

func testContext(t *testing.T) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	t.Cleanup(cancel)
	return ctx
}

// proxy forwards connections to a process, and can drop the bytes of both
// directions while the connections stay open, as when a host is cut off.
type proxy struct {
	listener net.Listener
	mu       sync.Mutex
	silent   bool
	dials    int
}

func startProxy(t *testing.T, to pimento.Process) (*proxy, pimento.Process) {
	t.Helper()
	p := &proxy{listener: listen(t)}
	go func() {
		for {
			in, err := p.listener.Accept()
			if err != nil {
				return
			}
			p.mu.Lock()
			p.dials++
			p.mu.Unlock()
			out, err := net.Dial("tcp", to.Peer.String())
			if err != nil {
				in.Close()
				continue
			}
			go p.forward(out, in)
			go p.forward(in, out)
		}
	}()
	proxied := to
	proxied.Peer = netip.MustParseAddrPort(p.listener.Addr().String())
	return p, proxied
}

// forward copies bytes, and drops those that arrive while the proxy is silent.
func (p *proxy) forward(to, from net.Conn) {
	defer to.Close()
	buf := make([]byte, 4096)
	for {
		n, err := from.Read(buf)
		p.mu.Lock()
		silent := p.silent
		p.mu.Unlock()
		if n > 0 && !silent {
			if _, werr := to.Write(buf[:n]); werr != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

func (p *proxy) setSilent(silent bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.silent = silent
}

// TestConcurrentCalls checks that each call gets its own reply, in whatever
// order replies arrive.
func TestConcurrentCalls(t *testing.T) {
	is := is.New(t)
	h := newReceiver(true)
	to, _ := startProcess(t, "server", h)
	m, ctx := newCaller(t), testContext(t)
	const calls = 8
	epochs := make([]chan uint64, calls)
	for i := range calls {
		epochs[i] = make(chan uint64, 1)
		go func() {
			reply, err := m.Call(ctx, to, &Message{Vote: &Vote{Epoch: uint64(i)}})
			if err != nil {
				t.Error(err)
				close(epochs[i])
				return
			}
			epochs[i] <- reply.Vote.Epoch
		}()
	}
	receivedEpochs := make([]uint64, calls)
	for i := range calls {
		receivedEpochs[i] = waitFor(t, h.received).Vote.Epoch
	}
	for i := calls - 1; i >= 0; i-- {
		h.waitReplies(calls)
		h.reply(i)(&Message{Vote: &Vote{Epoch: 100 + receivedEpochs[i]}})
	}
	for i := range calls {
		is.Equal(waitFor(t, epochs[i]), 100+uint64(i))
	}
}

// waitReplies waits until n calls can be answered.
func (h *receiver) waitReplies(n int) {
	for {
		h.mu.Lock()
		count := len(h.replies)
		h.mu.Unlock()
		if count >= n {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

// TestSendExpectsNoReply checks that a message of Send arrives without a call
// number and without a reply function.
func TestSendExpectsNoReply(t *testing.T) {
	is := is.New(t)
	h := newReceiver(true)
	to, _ := startProcess(t, "server", h)
	is.NoErr(newCaller(t).Send(testContext(t), to, &Message{Done: &Done{Ticket: 7}}))
	m := waitFor(t, h.received)
	is.Equal(m.Done.Ticket, uint64(7))
	is.Equal(m.Call, uint64(0))
	is.Equal(len(h.replies), 0)
}

// TestSilentConnection checks that a call on a connection that falls silent
// without a reset fails as unreachable before its context ends, and that the next
// one gets a new connection.
func TestSilentConnection(t *testing.T) {
	is := is.New(t)
	to, _ := startProcess(t, "server", newReceiver(false))
	p, proxied := startProxy(t, to)
	m, ctx := newCaller(t), testContext(t)
	_, err := m.Call(ctx, proxied, &Message{Vote: &Vote{}})
	is.NoErr(err)

	p.setSilent(true)
	_, err = m.Call(ctx, proxied, &Message{Vote: &Vote{}})
	var unreachable *pimento.UnreachableError
	is.True(errors.As(err, &unreachable))
	is.True(errors.Is(err, errPingTimeout))
	is.True(ctx.Err() == nil) // detected by pings, not by the caller's timeout

	p.setSilent(false)
	reply, err := m.Call(ctx, proxied, &Message{Vote: &Vote{Epoch: 4}})
	is.NoErr(err)
	is.Equal(reply.Vote.Epoch, uint64(5))
	is.Equal(p.dials, 2)
}

// TestSlowReplyIsAwaited checks that a call waits for a peer that answers pings,
// however long its reply takes.
func TestSlowReplyIsAwaited(t *testing.T) {
	is := is.New(t)
	h := newReceiver(true)
	to, _ := startProcess(t, "server", h)
	m, ctx := newCaller(t), testContext(t)
	done := make(chan error, 1)
	go func() {
		_, err := m.Call(ctx, to, &Message{Vote: &Vote{}})
		done <- err
	}()
	h.waitReplies(1)
	time.Sleep(pingAfter + 3*pongTimeout)
	h.reply(0)(&Message{Vote: &Vote{}})
	is.NoErr(waitFor(t, done))
}

// TestPeerEnds checks that every call on the connection of a process that ends
// fails as unreachable, and that the peer is not dialed again at once.
func TestPeerEnds(t *testing.T) {
	is := is.New(t)
	h := newReceiver(true)
	to, stop := startProcess(t, "server", h)
	m, ctx := newCaller(t), testContext(t)
	const calls = 4
	done := make(chan error, calls)
	for range calls {
		go func() {
			_, err := m.Call(ctx, to, &Message{Vote: &Vote{}})
			done <- err
		}()
	}
	h.waitReplies(calls)
	stop()
	for range calls {
		var unreachable *pimento.UnreachableError
		is.True(errors.As(waitFor(t, done), &unreachable))
	}
	var unreachable *pimento.UnreachableError
	_, err := m.Call(ctx, to, &Message{Vote: &Vote{}}) // the listener is closed
	is.True(errors.As(err, &unreachable))
	_, err = m.Call(ctx, to, &Message{Vote: &Vote{}})
	is.True(errors.Is(err, errRedialPause)) // so that requests are sent elsewhere at once
}

// TestPeerIsNotifiedOfCancelAndClose checks that a peer is notified when a caller
// no longer waits for its reply, and when the connection ends.
func TestPeerIsNotifiedOfCancelAndClose(t *testing.T) {
	is := is.New(t)
	h := newReceiver(true)
	to, _ := startProcess(t, "server", h)
	m := newCaller(t)
	ctx, cancel := context.WithCancel(testContext(t))
	done := make(chan error, 1)
	go func() {
		_, err := m.Call(ctx, to, &Message{Vote: &Vote{}})
		done <- err
	}()
	call := waitFor(t, h.received).Call
	cancel()
	is.True(errors.Is(waitFor(t, done), context.Canceled))
	is.Equal(waitFor(t, h.canceled), call)
	m.Forget(to.ID)
	is.Equal(waitFor(t, h.closed), pimento.ProcessID("caller"))
}

// TestInvalidConnectionsAreRejected checks that a connection that does not begin
// with the ID and the token of this process, or whose frames cannot be read, is
// closed without a reply.
func TestInvalidConnectionsAreRejected(t *testing.T) {
	h := newReceiver(false)
	to, _ := startProcess(t, "server", h)
	frame := func(m *Message) []byte {
		out, err := encodeFrame(m)
		if err != nil {
			t.Fatal(err)
		}
		return out
	}
	hello := func(id pimento.ProcessID, token string) []byte {
		return frame(&Message{Hello: &Hello{From: process("x", nil), To: id, Token: token}})
	}
	vote := frame(&Message{Call: 1, Vote: &Vote{}})
	for _, c := range []struct {
		name string
		text []byte
	}{
		{"wrong token", append(hello(to.ID, "guess"), vote...)},
		{"ID of an earlier run of the process", append(hello("server-before", to.Token), vote...)},
		{"no hello", vote},
		{"first frame too large", []byte{0xff, 0xff, 0xff, 0xff}},
		{"invalid CBOR", []byte{0, 0, 0, 2, 0xff, 0xff}},
		{"later frame too large", append(hello(to.ID, to.Token), 0xff, 0xff, 0xff, 0xff)},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			conn, err := net.Dial("tcp", to.Peer.String())
			is.NoErr(err)
			defer conn.Close()
			is.NoErr(conn.SetDeadline(time.Now().Add(testTimeout)))
			_, err = conn.Write(c.text)
			is.NoErr(err)
			_, err = bufio.NewReader(conn).ReadByte()
			is.True(err != nil) // closed without a reply
			var slow net.Error
			is.True(!errors.As(err, &slow) || !slow.Timeout())
			is.Equal(len(h.received), 0)
		})
	}
}

// TestPeerThatReadsNothing checks that a peer that reads nothing blocks its
// callers for a bounded time only.
func TestPeerThatReadsNothing(t *testing.T) {
	is := is.New(t)
	l := listen(t)
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { conn.Close() })
		}
	}()
	m, ctx := newCaller(t), testContext(t)
	large := &Message{State: &State{Manifest: make([]byte, maxFrame-1<<10)}}
	_, err := m.Call(ctx, process("deaf", l), large)
	var unreachable *pimento.UnreachableError
	is.True(errors.As(err, &unreachable))
	is.True(ctx.Err() == nil)
}

// TestFrameSize checks that a frame larger than maxFrame is neither encoded nor
// read.
func TestFrameSize(t *testing.T) {
	is := is.New(t)
	_, err := encodeFrame(&Message{State: &State{Manifest: make([]byte, maxFrame+1)}})
	is.True(errors.Is(err, errFrame))
	_, err = readFrame(io.LimitReader(onesReader{}, 1<<20))
	is.True(errors.Is(err, errFrame))
}

// onesReader is an endless stream of 0xff.
type onesReader struct{}

// Read implements io.Reader.
func (onesReader) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = 0xff
	}
	return len(p), nil
}

// slowWriter is a connection whose writes return some time after their bytes
// have arrived, as when the process is not scheduled in between.
type slowWriter struct{ net.Conn }

// Write implements net.Conn.
func (c slowWriter) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	time.Sleep(50 * time.Millisecond)
	return n, err
}

// TestAnswerBeforeTheWriteReturns checks that a pong counts that arrives before
// the write of its ping has returned.
func TestAnswerBeforeTheWriteReturns(t *testing.T) {
	is := is.New(t)
	client, server := net.Pipe()
	defer server.Close()
	o := &outgoing{out: writer{conn: slowWriter{client}}, pending: make(map[uint64]chan *Message), receivedAt: time.Now(), ended: make(chan struct{})}
	go o.readReplies(bufio.NewReader(client))
	go func() {
		ping, err := readFrame(server)
		if err != nil {
			t.Error(err)
			return
		}
		pong, err := encodeFrame(&Message{Call: ping.Call, Reply: true, Ping: &Ping{}})
		if err != nil {
			t.Error(err)
			return
		}
		if _, err := server.Write(pong); err != nil {
			t.Error(err)
		}
		io.Copy(io.Discard, server)
	}()
	pingedAt := o.probe(time.Time{})
	time.Sleep(20 * time.Millisecond) // until the pong has been read
	o.probe(pingedAt)
	is.NoErr(o.err)
}

// TestMessageThatCannotBeSent guards against a message that cannot be encoded, or is too large,
// and that ends the connection with the calls of others.
func TestMessageThatCannotBeSent(t *testing.T) {
	beyondRFC3339 := time.Date(57_000, 1, 1, 0, 0, 0, 0, time.UTC)
	for name, bad := range map[string]*Message{
		"time that is no text": {State: &State{Upstreams: &UpstreamList{Upstreams: []Upstream{{Server: pimento.Server{Started: beyondRFC3339}}}}}},
		"too large":            {State: &State{Manifest: make([]byte, maxFrame+1)}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := newReceiver(true)
			to, _ := startProcess(t, "server", h)
			m, ctx := newCaller(t), testContext(t)
			type result struct {
				reply *Message
				err   error
			}
			first, second := make(chan result, 1), make(chan result, 1)
			call := func(done chan result) {
				reply, err := m.Call(ctx, to, &Message{Vote: &Vote{Epoch: 1}})
				done <- result{reply, err}
			}
			go call(first)
			waitFor(t, h.received)

			_, err := m.Call(ctx, to, bad)
			is.True(m.Send(ctx, to, bad) != nil)
			h.waitReplies(1)
			h.reply(0)(&Message{Vote: &Vote{Epoch: 7}})
			got := waitFor(t, first)
			is.NoErr(got.err)
			is.Equal(got.reply.Vote.Epoch, uint64(7))
			var unreachable *pimento.UnreachableError
			is.True(errors.As(err, &unreachable))
			is.True(unreachable.Unsent)

			go call(second)
			waitFor(t, h.received)
			h.waitReplies(2)
			h.reply(1)(bad) // answered, though with nothing
			got = waitFor(t, second)
			is.NoErr(got.err)
			is.True(got.reply.State == nil)
		})
	}
}
