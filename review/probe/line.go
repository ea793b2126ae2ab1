package main

import (
	"errors"
	"net"
	"syscall"
	"time"
)

// consumerDelay is the delay between consumers and machines, one way, as the sheet of the
// site says.
const consumerDelay = 8 * time.Millisecond

// linePieces bounds what is on its way, in pieces of linePiece bytes.
const (
	linePieces = 64
	linePiece  = 16 << 10
)

// slowLineBuffer is the receive buffer of a slow line: the links of the platform have small
// windows.
const slowLineBuffer = 32 << 10

// setReceiveBuffer sets the receive buffer of a socket.
func setReceiveBuffer(c syscall.RawConn, bytes int) error {
	var optionErr error
	err := c.Control(func(fd uintptr) {
		optionErr = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, bytes)
	})
	return errors.Join(err, optionErr)
}

// piece is a part of what one side has sent.
type piece struct {
	at   time.Time
	data []byte
}

// dialDelayed connects to an address over a line with consumerDelay, through a proxy in
// this process. The line carries rate bytes a second of what the address sends; zero: as it
// comes.
func dialDelayed(address string, rate int) (net.Conn, error) {
	dialer := net.Dialer{Control: func(_, _ string, c syscall.RawConn) error {
		if rate == 0 {
			return nil
		}
		return setReceiveBuffer(c, slowLineBuffer)
	}}
	far, err := dialer.Dial("tcp", address)
	if err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		far.Close()
		return nil, err
	}
	defer l.Close()
	near, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		far.Close()
		return nil, err
	}
	middle, err := l.Accept()
	if err != nil {
		far.Close()
		near.Close()
		return nil, err
	}
	go func() {
		ended := make(chan struct{})
		go func() {
			carry(far, middle, 0)
			close(ended)
		}()
		carry(middle, far, rate)
		<-ended
		far.Close()
		middle.Close()
	}()
	return near, nil
}

// carry passes on what comes from one side after the delay, at a rate if that is not zero,
// and its end.
func carry(to, from net.Conn, rate int) {
	line := make(chan piece, linePieces)
	if rate > 0 {
		line = make(chan piece, 1)
	}
	go func() {
		defer close(line)
		for {
			data := make([]byte, linePiece)
			n, err := from.Read(data)
			if n > 0 {
				line <- piece{at: time.Now(), data: data[:n]}
			}
			if err != nil {
				return
			}
		}
	}()
	failed := false
	for p := range line {
		time.Sleep(time.Until(p.at.Add(consumerDelay)))
		if failed {
			continue
		}
		if rate > 0 {
			time.Sleep(time.Duration(float64(len(p.data)) / float64(rate) * float64(time.Second)))
		}
		if _, err := to.Write(p.data); err != nil {
			failed = true
			from.Close()
		}
	}
	time.Sleep(consumerDelay)
	if half, ok := to.(interface{ CloseWrite() error }); !ok || half.CloseWrite() != nil {
		to.Close()
	}
}
