package main

import (
	"net"
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

// piece is a part of what one side has sent.
type piece struct {
	at   time.Time
	data []byte
}

// dialDelayed connects to an address over a line with consumerDelay, through a proxy in
// this process.
func dialDelayed(address string) (net.Conn, error) {
	far, err := net.Dial("tcp", address)
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
			carry(far, middle)
			close(ended)
		}()
		carry(middle, far)
		<-ended
		far.Close()
		middle.Close()
	}()
	return near, nil
}

// carry passes on what comes from one side after the delay, and its end.
func carry(to, from net.Conn) {
	line := make(chan piece, linePieces)
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
