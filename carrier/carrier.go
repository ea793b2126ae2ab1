// Package carrier carries messages and requests between processes over QUIC.
//
// Both ends show a certificate that is pinned by the hash in the process's
// object in the platform. A peer gets two connections, one for control
// messages and one for requests, so that no load delays a heartbeat. Streams
// live long and are taken from a pool; one carries one exchange at a time.
//
// A frame is a length of four bytes and a CBOR [Message]; a body follows its
// message as chunks whose length has the top bit set, the empty one last.
//
// # Usage
//
//	c := &carrier.Carrier{Identity: identity, Address: addr, Directory: d, Handler: h}
//	go c.Run(ctx)
//	answer, err := c.Confirm(ctx, peer, ask)
//	answer, err := c.Serve(ctx, peer, head, body)
package carrier

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/quic-go/quic-go"

	"pimentorelay.example/pimento"
)

const (
	dialTimeout     = 250 * time.Millisecond
	redialPause     = 100 * time.Millisecond
	idleTimeout     = 5 * time.Second
	keepAlive       = time.Second
	maxStreams      = 1 << 14
	streamWindow    = 1 << 20 // bytes
	connWindow      = 16 << 20
	maxIdleStreams  = 256
	resetCode       = quic.StreamErrorCode(1)
	closedCode      = quic.ApplicationErrorCode(0)
	exchangeTimeout = 2 * time.Second
)

// Handler serves what peers ask.
type Handler interface {
	Confirm(ctx context.Context, ask pimento.ConfirmAsk) (pimento.ConfirmAnswer, error)
	Handover(ctx context.Context, ask pimento.HandoverAsk) (pimento.HandoverAnswer, error)
	CurrentPlan() *pimento.Plan
	Record(ctx context.Context, record pimento.Record) error
	// Serve runs a request as its dispatcher. An error is an *OutcomeError.
	Serve(ctx context.Context, from pimento.ProcessID, head pimento.RequestHead, witness pimento.Witnessing, body pimento.Body) (pimento.Answer, error)
}

// Carrier is one process's end. Set the exported fields before Run.
type Carrier struct {
	Identity  *Identity
	Address   netip.AddrPort
	Directory Directory
	Handler   Handler
	Ready     func(netip.AddrPort) // called with the address in use

	mu        sync.Mutex
	transport *quic.Transport
	links     map[linkKey]*link
}

// lane keeps control messages apart from requests.
type lane string

const (
	laneControl lane = "Control"
	laneData    lane = "Data"
)

type linkKey struct {
	peer pimento.ProcessID
	lane lane
}

func quicConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout:           dialTimeout,
		MaxIdleTimeout:                 idleTimeout,
		KeepAlivePeriod:                keepAlive,
		MaxIncomingStreams:             maxStreams,
		MaxIncomingUniStreams:          -1,
		InitialStreamReceiveWindow:     streamWindow,
		MaxStreamReceiveWindow:         streamWindow,
		InitialConnectionReceiveWindow: connWindow,
		MaxConnectionReceiveWindow:     connWindow,
	}
}

// Open binds the address. Run calls it if it has not been called.
func (c *Carrier) Open() (netip.AddrPort, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.transport == nil {
		conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(c.Address))
		if err != nil {
			return netip.AddrPort{}, fmt.Errorf("Carrier.Open: %w", err)
		}
		c.transport = &quic.Transport{Conn: conn}
		c.links = make(map[linkKey]*link)
		c.Address = conn.LocalAddr().(*net.UDPAddr).AddrPort()
	}
	return c.Address, nil
}

// Run serves peers until ctx ends.
func (c *Carrier) Run(ctx context.Context) error {
	if _, err := c.Open(); err != nil {
		return err
	}
	listener, err := c.transport.Listen(c.Identity.serverTLS(c.Directory), quicConfig())
	if err != nil {
		return fmt.Errorf("Carrier.Run: %w", err)
	}
	defer c.close(listener)
	for {
		conn, err := listener.Accept(ctx)
		if err != nil {
			return fmt.Errorf("Carrier.Run: %w", err)
		}
		go c.serveConn(ctx, conn)
	}
}

// Abort closes the socket without a word to the peers, as a crash would.
func (c *Carrier) Abort() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.transport.Conn.Close()
}

func (c *Carrier) close(listener *quic.Listener) {
	listener.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, l := range c.links {
		l.close()
	}
	c.transport.Close()
	c.transport.Conn.Close()
}

func (c *Carrier) serveConn(ctx context.Context, conn *quic.Conn) {
	peer := peerID(conn.ConnectionState().TLS)
	for {
		stream, err := conn.AcceptStream(ctx)
		if err != nil {
			return
		}
		go c.serveStream(ctx, peer, stream)
	}
}

// serveStream serves one exchange after the other.
func (c *Carrier) serveStream(ctx context.Context, peer pimento.ProcessID, stream *quic.Stream) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(stream.Context(), cancel)
	defer stop()
	for {
		err := c.serveOne(ctx, peer, stream)
		if errors.Is(err, errBodyLeft) { // the refusal still has to arrive
			stream.CancelRead(resetCode)
			stream.Close()
			return
		}
		if err != nil {
			drop(stream)
			return
		}
	}
}

// errForged is the cause where a message names another sender than its
// connection.
var errForged = errors.New("message names another sender")

func (c *Carrier) serveOne(ctx context.Context, peer pimento.ProcessID, stream *quic.Stream) error {
	m, err := readMessage(stream)
	if err != nil {
		return err
	}
	switch {
	case m.Ask != nil:
		if m.Ask.From != peer {
			return errForged
		}
		answer, err := c.Handler.Confirm(ctx, *m.Ask)
		if err != nil {
			return err
		}
		return writeMessage(stream, &Message{Confirm: &answer})
	case m.HandoverAsk != nil:
		if m.HandoverAsk.From != peer {
			return errForged
		}
		answer, err := c.Handler.Handover(ctx, *m.HandoverAsk)
		if err != nil {
			return err
		}
		return writeMessage(stream, &Message{HandoverAnswer: &answer})
	case m.PlanAsk != nil:
		return writeMessage(stream, &Message{Plan: c.Handler.CurrentPlan()})
	case m.Record != nil:
		if err := c.Handler.Record(ctx, *m.Record); err != nil {
			return err
		}
		return writeMessage(stream, &Message{Recorded: &Recorded{ID: m.Record.ID}})
	case m.Request != nil:
		return c.serveRequest(ctx, peer, stream, m.Request)
	default:
		return errFrame
	}
}

// serveRequest runs a request and writes its answer. An answer whose body
// fails, or a request whose body was not read whole, ends the stream.
func (c *Carrier) serveRequest(ctx context.Context, peer pimento.ProcessID, stream *quic.Stream, req *Request) error {
	head := req.Head
	head.Deadline = time.Now().Add(time.Duration(req.Remaining))
	streamed := &admittedBody{bodyReader: bodyReader{r: stream}, w: stream}
	body := pimento.Body{Inline: req.Inline}
	if head.BodyLength != int64(len(req.Inline)) {
		body.Stream = streamed
	}
	answer, err := c.Handler.Serve(ctx, peer, head, req.Witness, body)
	if err != nil {
		if err := writeMessage(stream, &Message{Refusal: refusal(err)}); err != nil {
			return err
		}
		return streamed.finish()
	}
	defer answer.Body.Close()
	if err := writeMessage(stream, &Message{Answer: &answer.Head}); err != nil {
		return err
	}
	if err := writeBody(stream, answer.Body); err != nil {
		return err
	}
	return streamed.finish()
}

// errBodyLeft is the cause where a request was answered before its body had
// come whole.
var errBodyLeft = errors.New("answered before the end of the body")

// finish reads a short rest of a body that was asked for, so that the stream
// can serve again.
func (b *admittedBody) finish() error {
	if !b.asked || b.done && b.left == 0 {
		return nil
	}
	if _, err := io.CopyN(io.Discard, &b.bodyReader, chunkSize); err != io.EOF {
		return errBodyLeft
	}
	return nil
}

func refusal(err error) *Refusal {
	var out *pimento.OutcomeError
	if !errors.As(err, &out) {
		return &Refusal{Outcome: pimento.OutcomeUnknown, Reason: pimento.ReasonUpstreamLost, Detail: err.Error()}
	}
	return &Refusal{Outcome: out.Outcome, Reason: out.Reason, Detail: out.Detail}
}
