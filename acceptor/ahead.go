package acceptor

import (
	"sync"

	"pimentorelay.example/pimento/meter"
)

// readAhead holds the part of a request's body that has arrived before the handler
// reads it. The connection's reader fills it, so that it notices a caller that
// disconnects while the request waits.
type readAhead struct {
	account *meter.Account

	mu      sync.Mutex
	changed sync.Cond // of the fields below
	buf     []byte
	err     error // after buf
	ended   bool  // the handler reads no more
	filled  bool  // nothing is added any more
}

// maxReadAhead is how many bytes of a body are read ahead.
const maxReadAhead = 448 << 10

func newReadAhead(account *meter.Account) *readAhead {
	a := &readAhead{account: account}
	a.changed.L = &a.mu
	return a
}

// add appends what was read, and the error of that read. It waits for room and
// reports whether more may be added.
func (a *readAhead) add(p []byte, err error) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := int64(len(p)) * bodyCost
	for !a.ended && (len(a.buf) >= maxReadAhead || len(a.buf) > 0 && !a.account.Reserve(n)) {
		a.changed.Wait() // the handler reads what is there
	}
	if a.ended {
		return false
	}
	if len(a.buf) == 0 {
		a.account.Charge(n)
	}
	a.buf = append(a.buf, p...)
	a.err = err
	a.changed.Broadcast()
	return err == nil
}

// Read implements io.Reader.
func (a *readAhead) Read(p []byte) (int, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for len(a.buf) == 0 && a.err == nil && !a.ended {
		a.changed.Wait()
	}
	if a.ended { // what was dropped must not look like the end of the body
		return 0, errBodyEnded
	}
	if len(a.buf) == 0 {
		return 0, a.err
	}
	n := copy(p, a.buf)
	a.buf = a.buf[n:]
	a.account.Release(int64(n) * bodyCost)
	a.changed.Broadcast()
	return n, nil
}

// end drops what the handler has not read and wakes a waiting add or Read. It calls
// interrupt if the body is still being read.
func (a *readAhead) end(interrupt func()) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.account.Release(int64(len(a.buf)) * bodyCost)
	a.buf, a.ended = nil, true
	a.changed.Broadcast()
	if !a.filled {
		interrupt()
	}
}

// finish records that nothing is added any more. No interrupt runs afterwards.
func (a *readAhead) finish() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.filled = true
}
