package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/spf13/cobra"

	"pimentorelay.example/pimento"
	"pimentorelay.example/pimento/assembler"
	"pimentorelay.example/pimento/examples"
	"pimentorelay.example/pimento/parser"
	"pimentorelay.example/pimento/sender"
	"pimentorelay.example/pimento/storefaker"
	"pimentorelay.example/pimento/upstreamfaker"
)

const (
	outageEntries     = 9
	outageKeys        = 48
	probeInterval     = 5 * time.Millisecond
	baselinePeriod    = 400 * time.Millisecond
	observationPeriod = 2500 * time.Millisecond
	readyTimeout      = 30 * time.Second
	// catalogueUpstreams is the number of bell-catalogue's upstreams, which the
	// sheet lists first.
	catalogueUpstreams = 14
)

const outageHelp = `Measures for how long keys are not served after a loss: 9 entry processes and
the upstreams of the Nairobi sheet. 48 keys are read throughout, through entry
processes that are not lost; the time of the slowest read is the outage of a run.
Each loss is measured with the platform up and down.

Examples:

  load outage --runs 10
  load outage --runs 100 --only domain --json > outage.json`

// loss is a kind of failure. It must not affect the entries that callers use.
type loss struct {
	name   string
	inject func(rng *rand.Rand, d *assembler.Deployment)
}

// Entries 0 to 8 are in domains a, b, c, a, b, c, a, b, c, and entry 0 leads.
// Callers use entries 1, 3, 4 and 6; only entry 0 and those of domain c are lost.
var losses = []loss{
	{"upstream", func(rng *rand.Rand, d *assembler.Deployment) { takeDownUpstream(d, rng.IntN(catalogueUpstreams)) }},
	{"dispatcher", func(rng *rand.Rand, d *assembler.Deployment) { d.Entry(2 + 3*rng.IntN(3)).Kill() }},
	{"leader", func(_ *rand.Rand, d *assembler.Deployment) { d.Entry(0).Kill() }},
	{"all three", func(rng *rand.Rand, d *assembler.Deployment) {
		takeDownUpstream(d, rng.IntN(catalogueUpstreams))
		d.Entry(2 + 3*rng.IntN(3)).Kill()
		d.Entry(0).Kill()
	}},
	{"domain", func(_ *rand.Rand, d *assembler.Deployment) {
		for _, i := range []int{2, 5, 8} {
			d.Entry(i).Kill()
		}
		for i, s := range d.Config.Servers {
			if d.Config.DomainOf(s) == "nairobi-c" {
				takeDownUpstream(d, i)
			}
		}
	}},
}

func takeDownUpstream(d *assembler.Deployment, i int) {
	d.Upstreams[d.Config.Servers[i].Name].Inject(upstreamfaker.Faults{Down: true})
}

// outageResult is the outage over all runs of one loss.
type outageResult struct {
	Loss     string
	Platform string
	Runs     int
	Failed   int // reads without a correct answer
	P50      pimento.Span
	Max      pimento.Span
}

func newOutageCommand() *cobra.Command {
	var runs int
	var only string
	var asJSON bool
	cmd := &cobra.Command{
		Use:   "outage",
		Short: "Measure for how long keys are not served after a loss",
		Long:  outageHelp,
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			var results []outageResult
			for _, l := range losses {
				if only != "" && l.name != only {
					continue
				}
				for _, platformDown := range []bool{false, true} {
					r, err := measureOutage(l, platformDown, runs)
					if err != nil {
						return err
					}
					results = append(results, r)
					fmt.Fprintf(os.Stderr, "%-10s platform %-4s %3d runs: p50 %8s max %8s failed %d\n",
						r.Loss, r.Platform, r.Runs, time.Duration(r.P50), time.Duration(r.Max), r.Failed)
				}
			}
			if asJSON {
				return json.NewEncoder(os.Stdout).Encode(results)
			}
			return nil
		},
	}
	f := cmd.Flags()
	f.IntVar(&runs, "runs", 10, "runs for each loss, with seeds from 1")
	f.StringVar(&only, "only", "", "measure only this loss: upstream, dispatcher, leader, all three or domain")
	f.BoolVar(&asJSON, "json", false, "write the results as JSON")
	return cmd
}

func measureOutage(l loss, platformDown bool, runs int) (outageResult, error) {
	r := outageResult{Loss: l.name, Platform: "up", Runs: runs}
	if platformDown {
		r.Platform = "down"
	}
	var times []time.Duration
	for seed := range runs {
		took, failed, err := runOutage(l, platformDown, uint64(seed+1))
		if err != nil {
			return r, err
		}
		r.Failed += failed
		times = append(times, took.Round(time.Millisecond))
	}
	slices.Sort(times)
	r.P50, r.Max = pimento.Span(times[len(times)/2]), pimento.Span(times[len(times)-1])
	return r, nil
}

// runOutage runs one loss and returns the time of the slowest read and the
// number of failed reads.
func runOutage(l loss, platformDown bool, seed uint64) (time.Duration, int, error) {
	config, err := parser.Parse(strings.NewReader(examples.Nairobi))
	if err != nil {
		return 0, 0, err
	}
	d := &assembler.Deployment{Config: config, Entries: outageEntries, Work: time.Millisecond, Warm: true}
	if err := d.Start(); err != nil {
		return 0, 0, err
	}
	defer d.Stop()
	version, err := d.Apply(context.Background(), d.Config)
	if err != nil {
		return 0, 0, err
	}
	if err := d.AwaitReady(version, readyTimeout); err != nil {
		return 0, 0, err
	}
	time.Sleep(time.Second) // by now the roster has all processes
	if err := d.AwaitReady(version, readyTimeout); err != nil {
		return 0, 0, err
	}
	if platformDown {
		d.Store.Inject(storefaker.Faults{Outage: storefaker.OutageReset})
	}
	p := &prober{urls: []string{d.URL(1), d.URL(3), d.URL(4), d.URL(6)}}
	p.start()
	time.Sleep(baselinePeriod)
	l.inject(rand.New(rand.NewPCG(seed, 1)), d)
	time.Sleep(observationPeriod)
	return p.stop()
}

// prober reads keys, each in its own goroutine.
type prober struct {
	urls    []string
	mu      sync.Mutex
	stopped bool
	longest time.Duration
	failed  int
	callers sync.WaitGroup
}

func (p *prober) start() {
	for i := range outageKeys {
		p.callers.Go(func() {
			for n := 0; !p.isStopped(); n++ {
				started := time.Now()
				r := sender.Request{Method: "GET", URL: p.urls[(i+n)%len(p.urls)] + "/catalogue/tone", Key: fmt.Sprintf("bell-%d", i)}
				_, err := sender.Send(context.Background(), r)
				p.record(err, time.Since(started))
				time.Sleep(probeInterval)
			}
		})
	}
}

func (p *prober) record(err error, took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil {
		p.failed++
		fmt.Fprintln(os.Stderr, "read failed:", err)
	}
	p.longest = max(p.longest, took)
}

func (p *prober) isStopped() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.stopped
}

func (p *prober) stop() (time.Duration, int, error) {
	p.mu.Lock()
	p.stopped = true
	p.mu.Unlock()
	p.callers.Wait()
	return p.longest, p.failed, nil
}
