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
	// maxLatency is the largest latency that the histogram takes; a longer one
	// fails the measurement.
	maxLatency = time.Minute
	// significantDigits is the precision of a latency, in decimal digits.
	significantDigits = 3
)

const overheadHelp = `Measures the latency that the router adds: sequential reads, first directly from
an upstream's stand-in, then through an entry process. The stand-ins' work takes
no time. Run it on an otherwise idle machine.

Examples:

  load overhead --for 5s`

func newOverheadCommand() *cobra.Command {
	var duration time.Duration
	cmd := &cobra.Command{
		Use:   "overhead",
		Short: "Measure the latency that the router adds to a request",
		Long:  overheadHelp,
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			return measureOverhead(duration)
		},
	}
	cmd.Flags().DurationVar(&duration, "for", 5*time.Second, "how long to measure each of the two paths")
	return cmd
}

func measureOverhead(duration time.Duration) error {
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
	server := d.Config.Servers[len(d.Config.Servers)-1] // drawing-store is Unchecked: it accepts requests without a grant
	direct, err := measure(time.Now().Add(duration), func() error { return readDirect(server) })
	if err != nil {
		return err
	}
	n := 0
	routed, err := measure(time.Now().Add(duration), func() error {
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

func readDirect(server pimento.Server) error {
	res, err := http.Get("http://" + server.Address.String() + "/tone")
	if err != nil {
		return err
	}
	return res.Body.Close()
}

// measure sends requests sequentially until the deadline.
func measure(deadline time.Time, request func() error) (*hdrhistogram.Histogram, error) {
	h := hdrhistogram.New(1, int64(maxLatency), significantDigits)
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
