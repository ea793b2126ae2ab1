package main

import (
	"io"
	"net"
	"net/netip"
	"sync"
	"time"
)

// trouble is what a proxy does to its connections.
type trouble string

// The troubles.
const (
	troubleNone    trouble = ""
	troubleDelay   trouble = "delay"   // bytes arrive later
	troubleSilence trouble = "silence" // bytes are held back, in both directions
	troubleOneWay  trouble = "one way" // answers are held back
	troubleReset   trouble = "reset"   // connections are reset, and no new one is taken
)

const (
	// proxyDelay is how much later bytes arrive.
	proxyDelay = 120 * time.Millisecond
	// holdPause is the time between two looks at whether bytes are held back.
	holdPause = 5 * time.Millisecond
	// chunkSize is the most bytes that are passed on at once.
	chunkSize = 16 << 10
)

// proxy passes connections on to one address.
type proxy struct {
	to       netip.AddrPort
	listener net.Listener

	mu      sync.Mutex
	trouble trouble
	conns   map[net.Conn]bool
}

func newProxy(to netip.AddrPort) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{to: to, listener: l, conns: make(map[net.Conn]bool)}
	go p.accept()
	return p, nil
}

func (p *proxy) address() netip.AddrPort { return p.listener.Addr().(*net.TCPAddr).AddrPort() }

// set replaces the trouble.
func (p *proxy) set(t trouble) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.trouble = t
	if t == troubleReset {
		for c := range p.conns {
			reset(c)
		}
	}
}

func (p *proxy) now() trouble {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.trouble
}

// reset ends a connection with a reset.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		// A connection that is closed already needs no reset.
		_ = t.SetLinger(0)
	}
	c.Close()
}

func (p *proxy) accept() {
	for {
		in, err := p.listener.Accept()
		if err != nil {
			return
		}
		if p.now() == troubleReset {
			reset(in)
			continue
		}
		out, err := net.Dial("tcp", p.to.String())
		if err != nil {
			reset(in)
			continue
		}
		p.mu.Lock()
		p.conns[in], p.conns[out] = true, true
		p.mu.Unlock()
		go p.copy(out, in, false)
		go p.copy(in, out, true)
	}
}

// copy passes bytes on in one direction until either side ends.
func (p *proxy) copy(to, from net.Conn, answer bool) {
	buf := make([]byte, chunkSize)
	for {
		n, err := from.Read(buf)
		for t := p.now(); t == troubleSilence || answer && t == troubleOneWay; t = p.now() {
			time.Sleep(holdPause)
		}
		if p.now() == troubleDelay {
			time.Sleep(proxyDelay)
		}
		if n > 0 {
			if _, werr := to.Write(buf[:n]); werr != nil {
				err = werr
			}
		}
		if err == io.EOF {
			break
		}
		if err != nil {
			reset(to)
			break
		}
	}
	if half, ok := to.(*net.TCPConn); ok {
		// The other side may have ended first.
		_ = half.CloseWrite()
	}
	if answer {
		from.Close()
		to.Close()
		p.mu.Lock()
		delete(p.conns, from)
		delete(p.conns, to)
		p.mu.Unlock()
	}
}

// close ends the proxy.
func (p *proxy) close() {
	p.listener.Close()
	p.set(troubleReset)
}
