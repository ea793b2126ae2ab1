package assembler_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"pimentorelay.example/pimento"
	"pimentorelay.example/pimento/assembler"
)

// TestLateRequestOfAShutdown guards against a request that arrives late in a shutdown, is sent
// to its upstream, and is broken off while it runs there.
func TestLateRequestOfAShutdown(t *testing.T) {
	const work = 1500 * time.Millisecond
	bounds := pimento.DefaultBounds()
	bounds.Shutdown = 3 * time.Second // accepts connections for 1 s, ends requests after 2.7 s
	d := &assembler.Deployment{Config: smallConfig(t), Entries: 4, Work: work, Bounds: bounds, Warm: true}
	if err := d.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Stop)
	applyConfig(t, d)
	order := func(body string) string {
		return "POST /connection%20refused/order HTTP/1.1\r\nHost: x\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
	}
	for i, c := range []struct {
		name        string
		early, late string // before the shutdown, and 1.2 s after its beginning
		want        []int
	}{
		{"behind another request", order(""), order(""), []int{http.StatusOK, http.StatusServiceUnavailable}},
		{"with a head that comes slowly", order("")[:20], order("")[20:], []int{http.StatusServiceUnavailable}},
		{"with a body that comes slowly", strings.TrimSuffix(order("two crates"), "crates"), "crates", []int{http.StatusServiceUnavailable}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			before := len(d.Runs())
			conn, err := net.Dial("tcp", d.Entry(i).Process.Caller.String())
			is.NoErr(err)
			defer conn.Close()
			_, err = io.WriteString(conn, c.early)
			is.NoErr(err)
			time.Sleep(100 * time.Millisecond)
			stopped := make(chan error, 1)
			go func() { stopped <- d.Entry(i).Stop() }()
			time.Sleep(1200 * time.Millisecond)
			_, err = io.WriteString(conn, c.late)
			is.NoErr(err)
			r := bufio.NewReader(conn)
			answered := 0
			for n, want := range c.want {
				res, err := http.ReadResponse(r, nil)
				is.NoErr(err)
				_, err = io.Copy(io.Discard, res.Body)
				is.NoErr(err)
				is.Equal(res.StatusCode, want)
				is.Equal(res.Close, n == len(c.want)-1)
				if res.StatusCode == http.StatusOK {
					answered++
				}
			}
			is.NoErr(<-stopped)
			is.Equal(len(d.Runs())-before, answered) // the refusal is true
		})
	}
}
