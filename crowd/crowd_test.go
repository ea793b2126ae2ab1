//go:build crowd

package crowd

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"
)

// crowdTime is how long a crowd sends.
const crowdTime = 8 * time.Second

// caller is one connection of a crowd.
type caller struct {
	size  int           // of the crowd, in connections
	send  []byte        // sent again and again, until the connection takes no more
	first []byte        // sent once before
	pause time.Duration // after each sending; zero: none
	reads bool          // reads the answers
	times int           // how often send is sent; zero: until the crowd ends
}

// request returns a request with the given header lines and body.
func request(method, path, lines, body string) []byte {
	length := ""
	if body != "" {
		length = fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	return []byte(method + " " + path + " HTTP/1.1\r\nHost: x\r\n" + length + lines + "\r\n" + body)
}

// headLines returns header lines of at most a size, made by line from their number.
func headLines(size int, line func(i int) string) string {
	var b strings.Builder
	for i := 0; ; i++ {
		next := line(i)
		if b.Len()+len(next) > size {
			return b.String()
		}
		b.WriteString(next)
	}
}

// legalHead is the size of the header lines of a hostile request: below the limit of 16 KiB
// for a whole header.
const legalHead = 15000

// shortLines are the shortest lines with names of their own.
func shortLines() string {
	return headLines(legalHead, func(i int) string { return fmt.Sprintf("%x:\r\n", i) })
}

// TestCrowds sends what each crowd has to a process with low limits. A process without a budget
// for callers breaks a bound in each but two: heads that come drop by drop, and chunks with
// extensions.
func TestCrowds(t *testing.T) {
	for _, c := range []struct {
		name string
		caller
	}{
		{"short header lines, sent ahead, answers unread", caller{size: 12, send: request("GET", readPath, shortLines(), "")}},
		{"one name in all header lines, sent ahead", caller{size: 12, send: request("GET", readPath, headLines(legalHead, func(int) string { return "a:\r\n" }), "")}},
		{"names that are not canonical, sent ahead", caller{size: 12, send: request("GET", readPath, headLines(legalHead, func(i int) string { return fmt.Sprintf("x-y-%x:\r\n", i) }), "")}},
		{"short header lines, answers read", caller{size: 40, reads: true, send: request("GET", readPath, shortLines(), "")}},
		{"short requests, sent ahead, answers unread", caller{size: 100, send: request("GET", readPath, "", "")}},
		{"uploads, sent ahead, answers unread", caller{size: 20, send: request("POST", readPath, "", strings.Repeat("x", 65000))}},
		{"uploads of which the end never comes", caller{size: 150, first: []byte("POST " + readPath + " HTTP/1.1\r\nHost: x\r\nContent-Length: 600000\r\n\r\n"), send: bytes.Repeat([]byte("x"), 10000), times: 59}},
		{"large answers, unread", caller{size: 30, send: request("GET", readPath+"?blob=60000", "", "")}},
		{"heads that come drop by drop", caller{size: 180, first: []byte("GET " + readPath + " HTTP/1.1\r\nHost: x\r\n"), send: []byte(headLines(700, func(i int) string { return fmt.Sprintf("%x:\r\n", i) })), times: 20, pause: 300 * time.Millisecond}},
		{"chunks with extensions, and trailers", caller{size: 40, first: []byte("POST " + readPath + " HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"), send: []byte("1;" + strings.Repeat("e", 3000) + "\r\nx\r\n")}},
		{"bodies in chunks, sent ahead", caller{size: 20, send: []byte("POST " + readPath + " HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\nfde8\r\n" + strings.Repeat("x", 65000) + "\r\n0\r\n\r\n")}},
		{"idle connections", caller{size: 2000, times: 1}},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := start(t)
			stop := p.crowd(c.caller)
			defer stop()
			time.Sleep(crowdTime)
			p.check()
		})
	}
}

// TestLegalRequestInCalm checks that a single request within the limits of the pages is served,
// whatever it costs.
func TestLegalRequestInCalm(t *testing.T) {
	p := start(t)
	for name, data := range map[string][]byte{
		"short header lines": request("GET", readPath, shortLines(), ""),
		"a long body":        request("POST", readPath, "", strings.Repeat("x", 8<<20)),
		"a large answer":     request("GET", readPath+"?blob=8000000", "", ""),
	} {
		conn, err := net.Dial("tcp", p.caller.String())
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		go conn.Write(data)
		status := make([]byte, len("HTTP/1.1 200"))
		if _, err := io.ReadFull(conn, status); err != nil || string(status) != "HTTP/1.1 200" {
			t.Errorf("%s: answered with %q, %v", name, status, err)
		}
	}
	p.check()
}

// crowd connects callers and lets them send until stop is called.
func (p *process) crowd(c caller) (stop func()) {
	var wg sync.WaitGroup
	var mu sync.Mutex
	var conns []net.Conn
	ended := make(chan struct{})
	for range c.size {
		wg.Go(func() {
			conn, err := net.Dial("tcp", p.caller.String())
			if err != nil {
				return // the process may refuse it
			}
			mu.Lock()
			conns = append(conns, conn)
			mu.Unlock()
			if c.reads {
				go io.Copy(io.Discard, conn)
			}
			c.run(conn, ended)
		})
	}
	return func() {
		close(ended)
		mu.Lock()
		for _, conn := range conns {
			conn.Close()
		}
		mu.Unlock()
		wg.Wait()
	}
}

// run sends until the connection or the crowd ends.
func (c *caller) run(conn net.Conn, ended chan struct{}) {
	if _, err := conn.Write(c.first); err != nil {
		return
	}
	for n := 0; c.times == 0 || n < c.times; n++ {
		if _, err := conn.Write(c.send); err != nil {
			return
		}
		select {
		case <-ended:
			return
		case <-time.After(c.pause):
		}
	}
}
