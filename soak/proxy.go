package main

import (
	"io"
	"net"
	"net/netip"
	"sync"
	"time"
)

// fault is a failure that a proxy causes on its connections.
type fault string

// The faults.
const (
	faultNone           fault = ""
	faultDelay          fault = "delay"           // bytes are forwarded after proxyDelay
	faultStall          fault = "stall"           // bytes are held back, in both directions
	faultStallResponses fault = "stall responses" // bytes from the target are held back
	faultReset          fault = "reset"           // open and new connections are reset
)

const (
	// proxyDelay is the delay of each chunk under faultDelay.
	proxyDelay = 120 * time.Millisecond
	// stallPollInterval is how often a stalled connection checks whether the fault
	// has ended.
	stallPollInterval = 5 * time.Millisecond
	// chunkSize is the most bytes that are forwarded at once.
	chunkSize = 16 << 10
)

// proxy forwards TCP connections to a target, with a fault.
type proxy struct {
	target   netip.AddrPort
	listener net.Listener

	mu    sync.Mutex
	fault fault
	conns map[net.Conn]bool
}

func newProxy(target netip.AddrPort) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{target: target, listener: l, conns: make(map[net.Conn]bool)}
	go p.accept()
	return p, nil
}

func (p *proxy) address() netip.AddrPort { return p.listener.Addr().(*net.TCPAddr).AddrPort() }

// setFault replaces the fault; faultReset also resets the open connections.
func (p *proxy) setFault(f fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = f
	if f == faultReset {
		for c := range p.conns {
			reset(c)
		}
	}
}

func (p *proxy) currentFault() fault {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fault
}

// reset closes a connection with a TCP reset.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		// An error means that the connection is closed already.
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
		if p.currentFault() == faultReset {
			reset(in)
			continue
		}
		out, err := net.Dial("tcp", p.target.String())
		if err != nil {
			reset(in)
			continue
		}
		p.mu.Lock()
		p.conns[in], p.conns[out] = true, true
		p.mu.Unlock()
		go p.forward(out, in, false)
		go p.forward(in, out, true)
	}
}

// forward copies bytes in one direction until either side closes.
func (p *proxy) forward(to, from net.Conn, responses bool) {
	buf := make([]byte, chunkSize)
	for {
		n, err := from.Read(buf)
		for f := p.currentFault(); f == faultStall || responses && f == faultStallResponses; f = p.currentFault() {
			time.Sleep(stallPollInterval)
		}
		if p.currentFault() == faultDelay {
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
	if conn, ok := to.(*net.TCPConn); ok {
		// The other side may have closed first.
		_ = conn.CloseWrite()
	}
	if responses {
		from.Close()
		to.Close()
		p.mu.Lock()
		delete(p.conns, from)
		delete(p.conns, to)
		p.mu.Unlock()
	}
}

// close stops listening and resets the open connections.
func (p *proxy) close() {
	p.listener.Close()
	p.setFault(faultReset)
}
