// Package linkfaker is a stand-in for a network link that can be cut, for tests.
//
// It does what the sender's kernel does with bytes that a cut holds up: it goes on
// sending them after an orderly close, and drops them if the sender resets its
// connection.
//
// # Usage
//
//	l, err := linkfaker.Listen(farAddress)
//	... connect to l.Address() ...
//	l.Cut()
//	l.Heal()
//	l.Close()
package linkfaker

import (
	"fmt"
	"net"
	"net/netip"
	"sync"
)

// Link forwards connections to a far address.
type Link struct {
	far      netip.AddrPort
	listener net.Listener

	mu      sync.Mutex
	changed *sync.Cond
	cut     bool
	closed  bool
	held    int // bytes held up by the cut
	ended   int // connections that their senders have ended
}

// Listen starts a link to the far address. It returns an error if it cannot listen.
func Listen(far netip.AddrPort) (*Link, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("Listen: %w", err)
	}
	l := &Link{far: far, listener: listener}
	l.changed = sync.NewCond(&l.mu)
	go l.accept()
	return l, nil
}

// Address returns the near address of the link.
func (l *Link) Address() netip.AddrPort {
	return l.listener.Addr().(*net.TCPAddr).AddrPort()
}

// Cut holds up all bytes, and the ends of connections, in both directions. A
// connection opened during a cut is never carried.
func (l *Link) Cut() { l.update(func() { l.cut = true }) }

// Heal ends the cut and delivers what was held up, unless its sender has reset the
// connection.
func (l *Link) Heal() { l.update(func() { l.cut = false }) }

// Close ends the link and releases all that wait for it.
func (l *Link) Close() {
	l.listener.Close()
	l.update(func() { l.closed = true })
}

// AwaitHeld waits until the cut holds up bytes.
func (l *Link) AwaitHeld() { l.await(func() bool { return l.held > 0 }) }

// AwaitEnded waits until senders have ended n connections.
func (l *Link) AwaitEnded(n int) { l.await(func() bool { return l.ended >= n }) }

func (l *Link) update(change func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change()
	l.changed.Broadcast()
}

// await waits until the condition holds or the link is closed.
func (l *Link) await(condition func() bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for !condition() && !l.closed {
		l.changed.Wait()
	}
}

func (l *Link) isCut() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cut
}

func (l *Link) accept() {
	for {
		near, err := l.listener.Accept()
		if err != nil {
			return
		}
		if l.isCut() {
			go l.hang(near)
			continue
		}
		far, err := net.Dial("tcp", l.far.String())
		if err != nil {
			near.Close()
			continue
		}
		go newFlow(l, near.(*net.TCPConn), far.(*net.TCPConn), true).carry()
		go newFlow(l, far.(*net.TCPConn), near.(*net.TCPConn), false).carry()
	}
}

// hang keeps a connection that is never carried until the link is closed.
func (l *Link) hang(near net.Conn) {
	l.await(func() bool { return false })
	near.Close()
}
