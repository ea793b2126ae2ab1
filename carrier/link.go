package carrier

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"github.com/quic-go/quic-go"

	"pimentorelay.example/pimento"
)

// link is one connection to a peer with its pool of idle streams.
type link struct {
	mu       sync.Mutex
	conn     *quic.Conn
	idle     []*quic.Stream
	closed   bool
	redialAt time.Time // no dial before, after one that failed
}

func (l *link) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	if l.conn != nil {
		l.conn.CloseWithError(closedCode, "")
	}
}

// link returns the link to a peer, which may not be connected yet.
func (c *Carrier) link(peer pimento.ProcessID, lane lane) *link {
	c.mu.Lock()
	defer c.mu.Unlock()
	key := linkKey{peer: peer, lane: lane}
	l, ok := c.links[key]
	if !ok {
		l = &link{}
		c.links[key] = l
	}
	return l
}

// Forget closes the connections to a peer that is listed no more.
func (c *Carrier) Forget(peer pimento.ProcessID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, lane := range []lane{laneControl, laneData} {
		key := linkKey{peer: peer, lane: lane}
		if l, ok := c.links[key]; ok {
			go l.close()
			delete(c.links, key)
		}
	}
}

// stream takes an idle stream to a peer, or opens one.
func (c *Carrier) stream(ctx context.Context, peer pimento.Process, lane lane) (*link, *quic.Stream, error) {
	l := c.link(peer.ID, lane)
	conn, s, err := c.take(ctx, l, peer)
	if err != nil || s != nil {
		return l, s, err
	}
	s, err = conn.OpenStreamSync(ctx)
	if err != nil {
		return nil, nil, &pimento.UnreachableError{Target: string(peer.ID), Cause: err}
	}
	return l, s, nil
}

// take returns an idle stream of a link, or the connection to open one on.
func (c *Carrier) take(ctx context.Context, l *link, peer pimento.Process) (*quic.Conn, *quic.Stream, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn != nil && l.conn.Context().Err() != nil {
		l.conn, l.idle = nil, nil
	}
	if n := len(l.idle); n > 0 {
		s := l.idle[n-1]
		l.idle = l.idle[:n-1]
		return l.conn, s, nil
	}
	if l.conn == nil {
		if err := c.dial(ctx, l, peer); err != nil {
			return nil, nil, err
		}
	}
	return l.conn, nil, nil
}

// errNotRedialed is the cause where a peer was found unreachable just before.
var errNotRedialed = errors.New("the last dial failed")

// dial connects a link. The caller holds l.mu. Those that waited for a dial
// that failed do not each dial again.
func (c *Carrier) dial(ctx context.Context, l *link, peer pimento.Process) error {
	if l.closed {
		return &pimento.UnreachableError{Target: string(peer.ID), Cause: net.ErrClosed}
	}
	if time.Now().Before(l.redialAt) {
		return &pimento.UnreachableError{Target: string(peer.ID), Cause: errNotRedialed}
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := c.transport.Dial(ctx, net.UDPAddrFromAddrPort(peer.Peer), c.Identity.clientTLS(peer), quicConfig())
	if err != nil {
		l.redialAt = time.Now().Add(redialPause)
		return &pimento.UnreachableError{Target: string(peer.ID), Cause: err}
	}
	l.conn = conn
	return nil
}

// put gives a stream back after a whole exchange.
func (l *link) put(s *quic.Stream) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.idle) < maxIdleStreams {
		l.idle = append(l.idle, s)
		return
	}
	drop(s)
}

func drop(s *quic.Stream) {
	s.CancelRead(resetCode)
	s.CancelWrite(resetCode)
}

// exchange sends one control message and returns the answer.
func (c *Carrier) exchange(ctx context.Context, peer pimento.Process, m *Message) (*Message, error) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	l, s, err := c.stream(ctx, peer, laneControl)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() { drop(s) })
	defer stop()
	if err := writeMessage(s, m); err != nil {
		drop(s)
		return nil, &pimento.UnreachableError{Target: string(peer.ID), Cause: err}
	}
	answer, err := readMessage(s)
	if err != nil {
		drop(s)
		return nil, &pimento.UnreachableError{Target: string(peer.ID), Cause: err}
	}
	if stop() {
		l.put(s)
	}
	return answer, nil
}

// Confirm asks a peer to confirm this process.
func (c *Carrier) Confirm(ctx context.Context, peer pimento.Process, ask pimento.ConfirmAsk) (pimento.ConfirmAnswer, error) {
	m, err := c.exchange(ctx, peer, &Message{Ask: &ask})
	if err != nil {
		return pimento.ConfirmAnswer{}, fmt.Errorf("Carrier.Confirm: %w", err)
	}
	if m.Confirm == nil || m.Confirm.From != peer.ID {
		return pimento.ConfirmAnswer{}, fmt.Errorf("Carrier.Confirm: %w", errFrame)
	}
	return *m.Confirm, nil
}

// Handover asks a peer whether it still uses rights.
func (c *Carrier) Handover(ctx context.Context, peer pimento.Process, ask pimento.HandoverAsk) (pimento.HandoverAnswer, error) {
	m, err := c.exchange(ctx, peer, &Message{HandoverAsk: &ask})
	if err != nil {
		return pimento.HandoverAnswer{}, fmt.Errorf("Carrier.Handover: %w", err)
	}
	if m.HandoverAnswer == nil || m.HandoverAnswer.From != peer.ID {
		return pimento.HandoverAnswer{}, fmt.Errorf("Carrier.Handover: %w", errFrame)
	}
	return *m.HandoverAnswer, nil
}

// Plan fetches the plan in force at a peer.
func (c *Carrier) Plan(ctx context.Context, peer pimento.Process) (pimento.Plan, error) {
	m, err := c.exchange(ctx, peer, &Message{PlanAsk: &PlanAsk{}})
	if err != nil {
		return pimento.Plan{}, fmt.Errorf("Carrier.Plan: %w", err)
	}
	if m.Plan == nil {
		return pimento.Plan{}, fmt.Errorf("Carrier.Plan: %w", errFrame)
	}
	return *m.Plan, m.Plan.Validate()
}

// Record lets a peer keep a record.
func (c *Carrier) Record(ctx context.Context, peer pimento.Process, record pimento.Record) error {
	m, err := c.exchange(ctx, peer, &Message{Record: &record})
	if err != nil {
		return fmt.Errorf("Carrier.Record: %w", err)
	}
	if m.Recorded == nil || m.Recorded.ID != record.ID {
		return fmt.Errorf("Carrier.Record: %w", errFrame)
	}
	return nil
}

// Serve passes a request to the peer that dispatches it. The error is an
// *pimento.OutcomeError: NotRun if the request certainly never left. The body
// is read only once the peer has admitted the request.
func (c *Carrier) Serve(ctx context.Context, peer pimento.Process, head pimento.RequestHead, witness pimento.Witnessing, body pimento.Body) (pimento.Answer, error) {
	l, s, err := c.stream(ctx, peer, laneData)
	if err != nil {
		return pimento.Answer{}, pimento.NotRun(pimento.ReasonPeerLost, err.Error())
	}
	x := &exchangeState{link: l, stream: s, sent: make(chan error, 1)}
	x.stop = context.AfterFunc(ctx, func() { drop(s) })
	req := &Request{Head: head, Remaining: pimento.Span(time.Until(head.Deadline)), Witness: witness}
	if body.Stream == nil {
		req.Inline = body.Inline
	}
	if err := writeMessage(s, &Message{Request: req}); err != nil {
		x.abandon()
		return pimento.Answer{}, pimento.Unknown(pimento.ReasonPeerLost, err.Error())
	}
	m, err := readMessage(s)
	if err == nil && m.Continue != nil && body.Stream != nil {
		x.send(body.Stream)
		m, err = readMessage(s)
	}
	if err != nil {
		return pimento.Answer{}, x.failed(err)
	}
	return x.answer(m)
}

// exchangeState is one request on its way over a stream.
type exchangeState struct {
	link    *link
	stream  *quic.Stream
	sending bool
	sent    chan error // the result of sending the body
	stop    func() bool
}

// send writes the body beside the reading of the answer.
func (x *exchangeState) send(body io.Reader) {
	x.sending = true
	go func() {
		err := writeBody(x.stream, body)
		var cut *bodyError
		if errors.As(err, &cut) {
			drop(x.stream)
		}
		x.sent <- err
	}()
}

// failed names the outcome of a request whose answer never came.
func (x *exchangeState) failed(err error) error {
	x.abandon()
	var cut *bodyError
	select {
	case sendErr := <-x.sent:
		if errors.As(sendErr, &cut) {
			return pimento.Unknown(pimento.ReasonBodyCut, sendErr.Error())
		}
	default:
	}
	return pimento.Unknown(pimento.ReasonPeerLost, err.Error())
}

func (x *exchangeState) abandon() {
	x.stop()
	drop(x.stream)
}

// answer turns a message into the answer or the refusal that it holds.
func (x *exchangeState) answer(m *Message) (pimento.Answer, error) {
	switch {
	case m.Refusal != nil:
		x.release()
		return pimento.Answer{}, &pimento.OutcomeError{Outcome: m.Refusal.Outcome, Reason: m.Refusal.Reason, Detail: m.Refusal.Detail}
	case m.Answer != nil:
		body := &answerBody{bodyReader: bodyReader{r: x.stream}, exchange: x}
		return pimento.Answer{Head: *m.Answer, Body: body}, nil
	default:
		x.abandon()
		return pimento.Answer{}, pimento.Unknown(pimento.ReasonPeerLost, errFrame.Error())
	}
}

// release gives the stream back if the body was sent whole, and drops it
// otherwise.
func (x *exchangeState) release() {
	if x.bodySent() && x.stop() {
		x.link.put(x.stream)
		return
	}
	x.abandon()
}

// bodySent reports whether no part of the body is still to be sent.
func (x *exchangeState) bodySent() bool {
	if !x.sending {
		return true
	}
	select {
	case err := <-x.sent:
		return err == nil
	default:
		return false
	}
}

// answerBody is the body of an answer; Close gives the stream back.
type answerBody struct {
	bodyReader
	exchange *exchangeState
	once     sync.Once
}

// Close implements io.Closer.
func (b *answerBody) Close() error {
	b.once.Do(func() {
		if b.done && b.left == 0 {
			b.exchange.release()
			return
		}
		b.exchange.abandon()
	})
	return nil
}
