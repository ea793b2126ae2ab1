package linkfaker

import (
	"errors"
	"io"
	"net"
	"syscall"
)

// flow carries the bytes of one direction of a connection.
type flow struct {
	link     *Link
	from, to *net.TCPConn
	outbound bool // from the side that opened the connection

	// All guarded by link.mu.
	queue []byte
	end   error // how the sender ended the flow; nil: not yet
}

func newFlow(l *Link, from, to *net.TCPConn, outbound bool) *flow {
	return &flow{link: l, from: from, to: to, outbound: outbound}
}

// carry reads always, as a kernel takes bytes from its process, and delivers while
// the link is not cut.
func (f *flow) carry() {
	go f.deliver()
	buffer := make([]byte, 4<<10)
	for {
		n, err := f.from.Read(buffer)
		f.link.update(func() { f.record(buffer[:n], err) })
		if err != nil {
			return
		}
	}
}

// record queues what was read. A reset drops what has not been delivered.
func (f *flow) record(read []byte, err error) {
	f.queue = append(f.queue, read...)
	if f.link.cut {
		f.link.held += len(read)
	}
	if err == nil {
		return
	}
	f.end = err
	if f.outbound {
		f.link.ended++
	}
	if isReset(err) {
		f.queue = nil
	}
}

// deliver writes what is queued, then ends the far side as the sender did.
func (f *flow) deliver() {
	for {
		bytes, end := f.next()
		if len(bytes) > 0 {
			if _, err := f.to.Write(bytes); err != nil {
				return
			}
			continue
		}
		if isReset(end) {
			f.to.SetLinger(0)
			f.to.Close()
		} else if end != nil {
			f.to.CloseWrite()
		}
		if end != nil {
			return
		}
	}
}

// next waits until something can be delivered and takes it.
func (f *flow) next() (bytes []byte, end error) {
	l := f.link
	l.await(func() bool { return !l.cut && (len(f.queue) > 0 || f.end != nil) })
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return nil, net.ErrClosed
	}
	if l.cut {
		return nil, nil // cut again meanwhile
	}
	bytes, f.queue = f.queue, nil
	return bytes, f.end
}

// isReset reports whether a connection ended other than in order.
func isReset(err error) bool {
	return err != nil && !errors.Is(err, io.EOF) && (errors.Is(err, syscall.ECONNRESET) || errors.Is(err, net.ErrClosed))
}
