package acceptor

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// deliveryTimeout bounds the wait for a caller that does not read its last answer.
const deliveryTimeout = writeTimeout

// isDelivered reports whether the caller has received what was written to it, or has had the
// time.
func (c *conn) isDelivered() bool {
	writtenAt, _ := c.idle()
	return time.Since(writtenAt) >= deliveryTimeout || c.undelivered() == 0
}

// undelivered returns how many bytes the caller has yet to acknowledge, zero if the kernel does
// not tell.
func (c *conn) undelivered() int {
	s, ok := c.raw.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return 0
	}
	var n int
	var failure error
	err = raw.Control(func(fd uintptr) { n, failure = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) })
	if err != nil || failure != nil {
		return 0
	}
	return n
}

// IsDelivering reports whether answers that were written are still on their way. If their
// connections ended now, input of their callers would reset them.
func (a *Acceptor) IsDelivering() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	for c := range a.conns {
		if !c.isDelivered() {
			return true
		}
	}
	return false
}
