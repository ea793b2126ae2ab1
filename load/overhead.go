package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/spf13/cobra"

	"pimentorelay.example/pimento"
	"pimentorelay.example/pimento/assembler"
	"pimentorelay.example/pimento/examples"
	"pimentorelay.example/pimento/parser"
	"pimentorelay.example/pimento/sender"
)

const (
	// maxLatency is the largest latency that is told from larger ones.
	maxLatency = time.Minute
	// digits is the number of significant digits of a latency.
	digits = 3
)

const overheadHelp = `Measures what the router adds: one read after the other, straight to an
upstream's stand-in and through the entry processes, on a machine that does
nothing else. The stand-ins' work takes no time.

Examples:

  load overhead --for 5s`

func newOverheadCommand() *cobra.Command {
	var span time.Duration
	cmd := &cobra.Command{
		Use:   "overhead",
		Short: "Measure what the router adds to a request",
		Long:  overheadHelp,
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			return measureOverhead(span)
		},
	}
	cmd.Flags().DurationVar(&span, "for", 5*time.Second, "how long to measure each way")
	return cmd
}

func measureOverhead(span time.Duration) error {
	config, err := parser.Parse(strings.NewReader(examples.Nairobi))
	if err != nil {
		return err
	}
	d := &assembler.Deployment{Config: config, Warm: true}
	if err := d.Start(); err != nil {
		return err
	}
	defer d.Stop()
	version, err := d.Apply(context.Background(), d.Config)
	if err != nil {
		return err
	}
	if err := d.AwaitReady(version, readyTimeout); err != nil {
		return err
	}
	time.Sleep(time.Second)
	unchecked := d.Config.Servers[len(d.Config.Servers)-1] // drawing-store takes requests from anybody
	direct, err := measure(time.Now().Add(span), func() error { return readDirect(unchecked) })
	if err != nil {
		return err
	}
	n := 0
	routed, err := measure(time.Now().Add(span), func() error {
		n++
		_, err := sender.Send(context.Background(), sender.Request{Method: "GET", URL: d.URL(0) + "/catalogue/tone", Key: fmt.Sprintf("bell-%d", n%997)})
		return err
	})
	if err != nil {
		return err
	}
	report("direct", direct)
	report("routed", routed)
	return nil
}

func readDirect(s pimento.Server) error {
	res, err := http.Get("http://" + s.Address.String() + "/tone")
	if err != nil {
		return err
	}
	return res.Body.Close()
}

// measure runs one request after the other until the deadline.
func measure(deadline time.Time, request func() error) (*hdrhistogram.Histogram, error) {
	h := hdrhistogram.New(1, int64(maxLatency), digits)
	for time.Now().Before(deadline) {
		started := time.Now()
		if err := request(); err != nil {
			return nil, err
		}
		if err := h.RecordValue(int64(time.Since(started))); err != nil {
			return nil, err
		}
	}
	return h, nil
}

func report(name string, h *hdrhistogram.Histogram) {
	fmt.Printf("%s: %d requests, p50 %s, p99 %s, p99.9 %s\n", name, h.TotalCount(),
		time.Duration(h.ValueAtQuantile(50)), time.Duration(h.ValueAtQuantile(99)), time.Duration(h.ValueAtQuantile(99.9)))
}
