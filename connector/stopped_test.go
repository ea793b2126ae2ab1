package connector

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/netip"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"pimentorelay.example/pimento"
	"pimentorelay.example/pimento/platform"
)

const (
	// stoppedProcess names the environment variable with the address for a process that
	// is stopped with a grant in flight.
	stoppedProcess = "CONNECTOR_TEST_STOPPED_ADDRESS"
	// windowBytes is more than an upstream that does not read takes, and less than the
	// kernel of the sender keeps.
	windowBytes = 32 << 10
	// windowFiller fills the window of an upstream.
	windowFiller = "."
	// longestWay is how long after its time a grant may still arrive.
	longestWay = time.Second
	// stoppedSpan is how long the process is stopped before the upstream reads on.
	stoppedSpan = controlTimeout + longestWay + time.Second
	// readSpan is how long the upstream then reads.
	readSpan = 3 * time.Second
)

// TestGrantOfAStoppedProcessArrivesLate guards against keys that an upstream takes seconds
// after the grant was sent, since only the kernel of its stopped sender could give it up.
func TestGrantOfAStoppedProcessArrivesLate(t *testing.T) {
	is := is.New(t)
	readOn, arrived := make(chan struct{}), make(chan []byte, 1)
	s := newNarrowServer(t, func(c net.Conn) {
		r := bufio.NewReader(c)
		p := &peer{Conn: c, r: r, s: &fakeServer{}}
		p.readRequest(true)
		p.writeAnswer("first", "ok")
		<-readOn
		c.SetReadDeadline(time.Now().Add(readSpan))
		rest, _ := io.ReadAll(r)
		arrived <- rest
	})
	p := startChild(t, "TestStoppedProcess", stoppedProcess, s)
	is.Equal(p.readLine(), "granting")
	time.Sleep(soon) // the grant is written
	is.NoErr(p.cmd.Process.Signal(syscall.SIGSTOP))
	time.Sleep(stoppedSpan)
	close(readOn)
	rest := <-arrived
	is.NoErr(p.cmd.Process.Signal(syscall.SIGCONT))
	if bytes.Contains(rest, []byte("grant")) {
		t.Errorf("the grant arrives %s after it was sent, %s are allowed", soon+stoppedSpan, controlTimeout+longestWay)
	}
}

// newNarrowServer serves one connection, whose window is small.
func newNarrowServer(t *testing.T, serve func(net.Conn)) netip.AddrPort {
	t.Helper()
	config := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		var err error
		if controlErr := c.Control(func(fd uintptr) {
			err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4<<10)
		}); controlErr != nil {
			return controlErr
		}
		return err
	}}
	l, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		serve(c)
	}()
	return netip.MustParseAddrPort(l.Addr().String())
}

// TestStoppedProcess is the process that is stopped with a grant in flight, if its parent
// has named an address.
func TestStoppedProcess(t *testing.T) {
	address := os.Getenv(stoppedProcess)
	if address == "" {
		return // only of use as a child
	}
	c := &Client{Server: pimento.Server{Name: "i-1", Address: netip.MustParseAddrPort(address)}, Wire: platform.Wire{}}
	if _, _, err := doRequest(c, "first", "GET", ""); err != nil {
		t.Fatal(err)
	}
	// Bytes that the upstream does not take hold up the grant, as a cut does.
	if _, err := c.idle[0].Write([]byte(strings.Repeat(windowFiller, windowBytes))); err != nil {
		t.Fatal(err)
	}
	fmt.Println("granting")
	ctx, cancel := context.WithTimeout(context.Background(), controlTimeout)
	defer cancel()
	c.Grant(ctx, pimento.KeyGrant{Range: pimento.KeyRange{From: 1, To: 9}, Fence: 46, Hold: time.Second})
}
