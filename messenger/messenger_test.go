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

// receiver is a Handler that answers, or keeps what it was sent.
type receiver struct {
	mu       sync.Mutex
	replies  []func(*Message) // of calls that are not answered yet
	got      chan *Message
	canceled chan uint64
	closed   chan pimento.ProcessID
	hold     bool // calls are answered by the test
}

func newReceiver(hold bool) *receiver {
	return &receiver{got: make(chan *Message, 64), canceled: make(chan uint64, 64), closed: make(chan pimento.ProcessID, 64), hold: hold}
}

// Handle implements Handler.
func (h *receiver) Handle(_ *Link, m *Message, reply func(*Message)) {
	h.got <- m
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

// next waits for a value.
func next[T any](t *testing.T, c <-chan T) T {
	t.Helper()
	select {
	case v := <-c:
		return v
	case <-time.After(testTimeout):
		t.Fatal("nothing came")
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

// start runs a process with a handler until the test ends, or stop is called.
func start(t *testing.T, id pimento.ProcessID, h Handler) (p pimento.Process, stop func()) {
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

// caller returns the side that calls.
func caller(t *testing.T) *Messenger {
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

// relayed is a way to a process that can fall silent in either direction while
// its connections stay open, as behind a machine that is cut off.
type relayed struct {
	listener net.Listener
	mu       sync.Mutex
	silent   bool
	dials    int
}

func relay(t *testing.T, to pimento.Process) (*relayed, pimento.Process) {
	t.Helper()
	w := &relayed{listener: listen(t)}
	go func() {
		for {
			in, err := w.listener.Accept()
			if err != nil {
				return
			}
			w.mu.Lock()
			w.dials++
			w.mu.Unlock()
			out, err := net.Dial("tcp", to.Peer.String())
			if err != nil {
				in.Close()
				continue
			}
			go w.pass(out, in)
			go w.pass(in, out)
		}
	}()
	near := to
	near.Peer = netip.MustParseAddrPort(w.listener.Addr().String())
	return w, near
}

// pass hands bytes on, and loses those that come while the way is silent.
func (w *relayed) pass(to, from net.Conn) {
	defer to.Close()
	buf := make([]byte, 4096)
	for {
		n, err := from.Read(buf)
		w.mu.Lock()
		silent := w.silent
		w.mu.Unlock()
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

func (w *relayed) setSilent(silent bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.silent = silent
}

// TestCallsBesideEachOther holds that each call gets its own reply, in whatever
// order they come.
func TestCallsBesideEachOther(t *testing.T) {
	is := is.New(t)
	h := newReceiver(true)
	to, _ := start(t, "server", h)
	m, ctx := caller(t), testContext(t)
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
	asked := make([]uint64, calls)
	for i := range calls {
		asked[i] = next(t, h.got).Vote.Epoch
	}
	for i := calls - 1; i >= 0; i-- {
		h.waitReplies(calls)
		h.reply(i)(&Message{Vote: &Vote{Epoch: 100 + asked[i]}})
	}
	for i := range calls {
		is.Equal(next(t, epochs[i]), 100+uint64(i))
	}
}

// waitReplies waits until so many calls can be answered.
func (h *receiver) waitReplies(n int) {
	for {
		h.mu.Lock()
		have := len(h.replies)
		h.mu.Unlock()
		if have >= n {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

// TestSendWantsNoReply holds that a message of Send arrives with no way to
// answer it.
func TestSendWantsNoReply(t *testing.T) {
	is := is.New(t)
	h := newReceiver(true)
	to, _ := start(t, "server", h)
	is.NoErr(caller(t).Send(testContext(t), to, &Message{Done: &Done{Ticket: 7}}))
	m := next(t, h.got)
	is.Equal(m.Done.Ticket, uint64(7))
	is.Equal(m.Call, uint64(0))
	is.Equal(len(h.replies), 0)
}

// TestSilentConnection holds that a call on a connection that has fallen silent
// without a reset ends as unreachable, though its caller would wait on, and
// that the next one gets a new connection.
func TestSilentConnection(t *testing.T) {
	is := is.New(t)
	to, _ := start(t, "server", newReceiver(false))
	way, near := relay(t, to)
	m, ctx := caller(t), testContext(t)
	_, err := m.Call(ctx, near, &Message{Vote: &Vote{}})
	is.NoErr(err)

	way.setSilent(true)
	_, err = m.Call(ctx, near, &Message{Vote: &Vote{}})
	var lost *pimento.UnreachableError
	is.True(errors.As(err, &lost))
	is.True(errors.Is(err, errSilent))
	is.True(ctx.Err() == nil) // found out by pings, not by the caller's patience

	way.setSilent(false)
	reply, err := m.Call(ctx, near, &Message{Vote: &Vote{Epoch: 4}})
	is.NoErr(err)
	is.Equal(reply.Vote.Epoch, uint64(5))
	is.Equal(way.dials, 2)
}

// TestSlowAnswerIsNoSilence holds that a peer that answers pings is waited for,
// however long its answer takes.
func TestSlowAnswerIsNoSilence(t *testing.T) {
	is := is.New(t)
	h := newReceiver(true)
	to, _ := start(t, "server", h)
	m, ctx := caller(t), testContext(t)
	done := make(chan error, 1)
	go func() {
		_, err := m.Call(ctx, to, &Message{Vote: &Vote{}})
		done <- err
	}()
	h.waitReplies(1)
	time.Sleep(pingAfter + 3*pongTimeout)
	h.reply(0)(&Message{Vote: &Vote{}})
	is.NoErr(next(t, done))
}

// TestPeerEnds holds that every call on the connection of a process that ends
// comes back at once as unreachable.
func TestPeerEnds(t *testing.T) {
	is := is.New(t)
	h := newReceiver(true)
	to, stop := start(t, "server", h)
	m, ctx := caller(t), testContext(t)
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
		var lost *pimento.UnreachableError
		is.True(errors.As(next(t, done), &lost))
	}
	var lost *pimento.UnreachableError
	_, err := m.Call(ctx, to, &Message{Vote: &Vote{}}) // nobody listens any more
	is.True(errors.As(err, &lost))
	_, err = m.Call(ctx, to, &Message{Vote: &Vote{}})
	is.True(errors.Is(err, errNotRedialed)) // so requests go elsewhere at once
}

// TestCallerLeaves holds that a peer is told when nobody waits for its answer,
// and when the connection ends.
func TestCallerLeaves(t *testing.T) {
	is := is.New(t)
	h := newReceiver(true)
	to, _ := start(t, "server", h)
	m := caller(t)
	ctx, cancel := context.WithCancel(testContext(t))
	done := make(chan error, 1)
	go func() {
		_, err := m.Call(ctx, to, &Message{Vote: &Vote{}})
		done <- err
	}()
	call := next(t, h.got).Call
	cancel()
	is.True(errors.Is(next(t, done), context.Canceled))
	is.Equal(next(t, h.canceled), call)
	m.Forget(to.ID)
	is.Equal(next(t, h.closed), pimento.ProcessID("caller"))
}

// TestStrangers holds that a connection that does not begin with the name and
// the token of this process, or whose frames cannot be read, gets nowhere.
func TestStrangers(t *testing.T) {
	h := newReceiver(false)
	to, _ := start(t, "server", h)
	frame := func(m *Message) []byte {
		out, err := appendFrame(m)
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
		{"another token", append(hello(to.ID, "guess"), vote...)},
		{"another run of the process", append(hello("server-before", to.Token), vote...)},
		{"no hello", vote},
		{"a frame too large", []byte{0xff, 0xff, 0xff, 0xff}},
		{"no CBOR", []byte{0, 0, 0, 2, 0xff, 0xff}},
		{"a frame too large later", append(hello(to.ID, to.Token), 0xff, 0xff, 0xff, 0xff)},
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
			is.True(err != nil) // ended without an answer
			var slow net.Error
			is.True(!errors.As(err, &slow) || !slow.Timeout())
			is.Equal(len(h.got), 0)
		})
	}
}

// TestPeerThatReadsNothing holds that a peer that takes no bytes blocks its
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
	m, ctx := caller(t), testContext(t)
	large := &Message{State: &State{Manifest: make([]byte, maxFrame-1<<10)}}
	_, err := m.Call(ctx, process("deaf", l), large)
	var lost *pimento.UnreachableError
	is.True(errors.As(err, &lost))
	is.True(ctx.Err() == nil)
}

// TestFrameSize holds that what would be refused is not sent.
func TestFrameSize(t *testing.T) {
	is := is.New(t)
	_, err := appendFrame(&Message{State: &State{Manifest: make([]byte, maxFrame+1)}})
	is.True(errors.Is(err, errFrame))
	_, err = readFrame(io.LimitReader(neverEnding{}, 1<<20))
	is.True(errors.Is(err, errFrame))
}

// neverEnding reads as bytes of the highest value.
type neverEnding struct{}

// Read implements io.Reader.
func (neverEnding) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = 0xff
	}
	return len(p), nil
}

// slowWriter is a connection whose writes return some time after their bytes
// have arrived, as where a process is not scheduled in between.
type slowWriter struct{ net.Conn }

// Write implements net.Conn.
func (c slowWriter) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	time.Sleep(50 * time.Millisecond)
	return n, err
}

// TestAnswerBeforeTheWriteReturns holds that a pong counts that arrives before
// the write of its ping has returned.
func TestAnswerBeforeTheWriteReturns(t *testing.T) {
	is := is.New(t)
	near, far := net.Pipe()
	defer far.Close()
	o := &outgoing{out: writer{conn: slowWriter{near}}, waiting: make(map[uint64]chan *Message), heardAt: time.Now(), ended: make(chan struct{})}
	go o.read(bufio.NewReader(near))
	go func() {
		ping, err := readFrame(far)
		if err != nil {
			t.Error(err)
			return
		}
		pong, err := appendFrame(&Message{Call: ping.Call, Reply: true, Ping: &Ping{}})
		if err != nil {
			t.Error(err)
			return
		}
		if _, err := far.Write(pong); err != nil {
			t.Error(err)
		}
		io.Copy(io.Discard, far)
	}()
	pingedAt := o.test(time.Time{})
	time.Sleep(20 * time.Millisecond) // until the pong has been read
	o.test(pingedAt)
	is.NoErr(o.err)
}
