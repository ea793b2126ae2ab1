package connector

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"os/exec"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"pimentorelay.example/pimento"
	"pimentorelay.example/pimento/linkfaker"
	"pimentorelay.example/pimento/platform"
	"pimentorelay.example/pimento/timekeeper"
)

// soon is a time within which a call is given up.
const soon = 100 * time.Millisecond

// endingProcess names the environment variable with the address for a process that
// ends with a call in flight.
const endingProcess = "CONNECTOR_TEST_ADDRESS"

// call makes a call and returns when it is answered or given up. held is closed once
// the call is on its way over a cut link; it never is if the link is not cut.
type call func(c *Client, held <-chan struct{})

func grantCall(c *Client, _ <-chan struct{}) {
	ctx, cancel := context.WithTimeout(context.Background(), soon)
	defer cancel()
	c.Grant(ctx, pimento.KeyGrant{Range: pimento.KeyRange{From: 1, To: 9}, Fence: 46, Hold: time.Second})
}

func releaseCall(c *Client, _ <-chan struct{}) {
	c.Release(context.Background(), pimento.KeyRange{From: 1, To: 9}, 47, soon)
}

func leavingCaller(c *Client, held <-chan struct{}) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		<-held
		cancel()
	}()
	c.Send(ctx, newRequest("late", "POST", "x"), strings.NewReader("x"))
}

func requestPastDeadline(c *Client, _ <-chan struct{}) {
	ctx, cancel := context.WithTimeout(context.Background(), soon)
	defer cancel()
	c.Send(ctx, newRequest("late", "POST", "x"), strings.NewReader("x"))
}

// TestCallGivenUpArrivesAfterTheCutHeals guards against keys that an upstream takes,
// and requests that it runs, seconds after the call was given up.
func TestCallGivenUpArrivesAfterTheCutHeals(t *testing.T) {
	for _, test := range []struct {
		name string
		call call
	}{
		{"grant", grantCall},
		{"release", releaseCall},
		{"request whose caller left", leavingCaller},
		{"request past its deadline", requestPastDeadline},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			s, l, ended := newCutServer(t)
			c := &Client{Server: pimento.Server{Name: "i-1", Address: l.Address()}, Wire: platform.Wire{}}
			_, _, err := doRequest(c, "first", "GET", "")
			is.NoErr(err)
			l.Cut()
			held := make(chan struct{})
			go func() { l.AwaitHeld(); close(held) }()
			test.call(c, held)
			l.AwaitEnded(1)
			l.Heal()
			<-ended
			is.Equal(s.received(), []string{"GET /a/b?c=d%20e first"}) // nothing after the first
		})
	}
	t.Run("process that ends", func(t *testing.T) {
		is := is.New(t)
		s, l, ended := newCutServer(t)
		p := startChild(t, "TestEndingProcess", endingProcess, l.Address())
		is.Equal(p.readLine(), "answered")
		l.Cut()
		p.writeLine("again")
		l.AwaitHeld()
		is.NoErr(p.cmd.Process.Kill())
		l.AwaitEnded(1)
		l.Heal()
		<-ended
		is.Equal(s.received(), []string{"GET /a/b?c=d%20e first"}) // nothing after the first
	})
}

// newCutServer starts an upstream behind a link. ended is closed when the upstream has
// read its first connection to the end.
func newCutServer(t *testing.T) (s *fakeServer, l *linkfaker.Link, ended <-chan struct{}) {
	t.Helper()
	over := make(chan struct{})
	s = newFakeServer(t, func(p *peer) {
		defer close(over)
		for {
			req, err := p.readRequest(true)
			if err != nil {
				return
			}
			p.writeAnswer(req.Header.Get("Pimentorelay-Attempt-Id"), "ok")
		}
	}, func(*peer) {})
	l, err := linkfaker.Listen(s.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(l.Close)
	return s, l, over
}

// child is a process that this test has started.
type child struct {
	cmd *exec.Cmd
	in  *bufio.Writer
	out *bufio.Scanner
}

// startChild starts a test as a process that finds an address in a variable of its
// environment.
func startChild(t *testing.T, test, variable string, address netip.AddrPort) *child {
	t.Helper()
	cmd := exec.Command(os.Args[0], "-test.run=^"+test+"$")
	cmd.Env = append(os.Environ(), variable+"="+address.String())
	in, err := cmd.StdinPipe()
	if err != nil {
		t.Fatal(err)
	}
	out, err := cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		cmd.Process.Kill()
		cmd.Wait()
	})
	return &child{cmd: cmd, in: bufio.NewWriter(in), out: bufio.NewScanner(out)}
}

func (c *child) readLine() string {
	c.out.Scan()
	return c.out.Text()
}

func (c *child) writeLine(line string) {
	fmt.Fprintln(c.in, line)
	c.in.Flush()
}

// TestEndingProcess is the process that ends with a call in flight, if its parent has
// named an address.
func TestEndingProcess(t *testing.T) {
	address := os.Getenv(endingProcess)
	if address == "" {
		return // only of use as a child
	}
	c := &Client{Server: pimento.Server{Name: "i-1", Address: netip.MustParseAddrPort(address)}, Wire: platform.Wire{}}
	if _, _, err := doRequest(c, "first", "GET", ""); err != nil {
		t.Fatal(err)
	}
	fmt.Println("answered")
	bufio.NewScanner(os.Stdin).Scan()
	c.Release(context.Background(), pimento.KeyRange{From: 1, To: 9}, 47, time.Minute)
}

// TestCallPastItsDeadlineIsSent guards against a call that is written after its
// deadline, since the process was stalled before it.
func TestCallPastItsDeadlineIsSent(t *testing.T) {
	for _, test := range []struct {
		name string
		call func(ctx context.Context, c *Client)
	}{
		{"grant", func(ctx context.Context, c *Client) {
			c.Grant(ctx, pimento.KeyGrant{Range: pimento.KeyRange{From: 1, To: 9}, Fence: 46, Hold: time.Second})
		}},
		{"release", func(ctx context.Context, c *Client) {
			c.Release(ctx, pimento.KeyRange{From: 1, To: 9}, 47, time.Second)
		}},
		{"request", func(ctx context.Context, c *Client) {
			c.Send(ctx, newRequest("late", "POST", "x"), strings.NewReader("x"))
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			s, l, ended := newCutServer(t)
			c := &Client{Server: pimento.Server{Name: "i-1", Address: l.Address()}, Wire: platform.Wire{}}
			_, _, err := doRequest(c, "first", "GET", "")
			is.NoErr(err)
			ctx, cancel := context.WithDeadline(context.Background(), time.Now().Add(-time.Second))
			defer cancel()
			test.call(ctx, c)
			c.Close()
			<-ended
			is.Equal(s.received(), []string{"GET /a/b?c=d%20e first"}) // nothing after the first
		})
	}
}

// TestGrantAfterItsTimeIsNotSent guards against a grant that is written once the
// authority behind it has ended, since the process was stalled or had to dial.
func TestGrantAfterItsTimeIsNotSent(t *testing.T) {
	is := is.New(t)
	s, l, ended := newCutServer(t)
	c := &Client{Server: pimento.Server{Name: "i-1", Address: l.Address()}, Wire: platform.Wire{}}
	_, _, err := doRequest(c, "first", "GET", "")
	is.NoErr(err)
	g := pimento.KeyGrant{Range: pimento.KeyRange{From: 1, To: 9}, Fence: 46, Hold: time.Second, SendBefore: timekeeper.Now()}
	var unreachable *pimento.UnreachableError
	is.True(errors.As(c.Grant(t.Context(), g), &unreachable))
	is.True(unreachable.Unsent)
	c.Close()
	<-ended
	is.Equal(s.received(), []string{"GET /a/b?c=d%20e first"}) // nothing after the first
}

// TestGivenUpCallNamesItsConnection guards against logs that cannot tell a call that
// may still arrive over a kept connection from one that was never sent.
func TestGivenUpCallNamesItsConnection(t *testing.T) {
	for _, first := range []bool{false, true} {
		t.Run(fmt.Sprintf("after another call: %v", first), func(t *testing.T) {
			is := is.New(t)
			_, l, _ := newCutServer(t)
			c := &Client{Server: pimento.Server{Name: "i-1", Address: l.Address()}, Wire: platform.Wire{}}
			if first {
				_, _, err := doRequest(c, "first", "GET", "")
				is.NoErr(err)
			}
			l.Cut()
			_, err := c.Release(context.Background(), pimento.KeyRange{From: 1, To: 9}, 47, soon)
			is.Equal(strings.Contains(err.Error(), "kept connection"), first)
		})
	}
}
