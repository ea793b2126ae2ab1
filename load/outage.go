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
	outageEntries = 9
	outageKeys    = 48
	probePause    = 5 * time.Millisecond
	beforeFault   = 400 * time.Millisecond
	afterFault    = 2500 * time.Millisecond
	readyTimeout  = 30 * time.Second
)

const outageHelp = `Measures for how long keys are not served after a loss: 9 entry processes and
the upstreams of the Nairobi sheet. Reads of 48 keys go on through entries that
stay; the time that the slowest read of the affected keys took is the outage of
a run. Each loss is measured with the platform up and down.

Examples:

  load outage --runs 10
  load outage --runs 100 --only domain --json > outage.json`

// loss is one kind of loss. It may not hit the entries that callers use.
type loss struct {
	name  string
	bring func(rng *rand.Rand, d *assembler.Deployment)
}

// Entries 0 to 8 are in domains a, b, c, a, b, c, a, b, c. Callers use those of
// domains a and b but the first, which leads.
var losses = []loss{
	{"upstream", func(rng *rand.Rand, d *assembler.Deployment) { downUpstream(d, rng.IntN(14)) }},
	{"dispatcher", func(rng *rand.Rand, d *assembler.Deployment) { d.Entry(2 + 3*rng.IntN(3)).Kill() }},
	{"leader", func(_ *rand.Rand, d *assembler.Deployment) { d.Entry(0).Kill() }},
	{"all three", func(rng *rand.Rand, d *assembler.Deployment) {
		downUpstream(d, rng.IntN(14))
		d.Entry(2 + 3*rng.IntN(3)).Kill()
		d.Entry(0).Kill()
	}},
	{"domain", func(_ *rand.Rand, d *assembler.Deployment) {
		for _, i := range []int{2, 5, 8} {
			d.Entry(i).Kill()
		}
		for i, s := range d.Config.Servers {
			if d.Config.DomainOf(s) == "nairobi-c" {
				downUpstream(d, i)
			}
		}
	}},
}

func downUpstream(d *assembler.Deployment, i int) {
	d.Upstreams[d.Config.Servers[i].Name].Inject(upstreamfaker.Faults{Down: true})
}

// outageResult is the outage over all runs of one loss.
type outageResult struct {
	Loss     string
	Platform string
	Runs     int
	Failed   int // reads that were not answered
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
				for _, down := range []bool{false, true} {
					r, err := measureOutage(l, down, runs)
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

func measureOutage(l loss, down bool, runs int) (outageResult, error) {
	r := outageResult{Loss: l.name, Platform: "up", Runs: runs}
	if down {
		r.Platform = "down"
	}
	var times []time.Duration
	for seed := range runs {
		took, failed, err := runOutage(l, down, uint64(seed+1))
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

// runOutage measures one loss and returns the longest read.
func runOutage(l loss, down bool, seed uint64) (time.Duration, int, error) {
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
	time.Sleep(time.Second) // all processes are listed by now
	if err := d.AwaitReady(version, readyTimeout); err != nil {
		return 0, 0, err
	}
	if down {
		d.Store.Inject(storefaker.Faults{Outage: storefaker.OutageReset})
	}
	p := &prober{urls: []string{d.URL(1), d.URL(3), d.URL(4), d.URL(6)}}
	p.start()
	time.Sleep(beforeFault)
	l.bring(rand.New(rand.NewPCG(seed, 1)), d)
	time.Sleep(afterFault)
	return p.stop()
}

// prober reads keys, each by a caller of its own.
type prober struct {
	urls    []string
	mu      sync.Mutex
	ended   bool
	longest time.Duration
	failed  int
	running sync.WaitGroup
}

func (p *prober) start() {
	for i := range outageKeys {
		p.running.Go(func() {
			for n := 0; !p.isEnded(); n++ {
				started := time.Now()
				r := sender.Request{Method: "GET", URL: p.urls[(i+n)%len(p.urls)] + "/catalogue/tone", Key: fmt.Sprintf("bell-%d", i)}
				_, err := sender.Send(context.Background(), r)
				p.note(err, time.Since(started))
				time.Sleep(probePause)
			}
		})
	}
}

func (p *prober) note(err error, took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil {
		p.failed++
		fmt.Fprintln(os.Stderr, "not answered:", err)
	}
	p.longest = max(p.longest, took)
}

func (p *prober) isEnded() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ended
}

func (p *prober) stop() (time.Duration, int, error) {
	p.mu.Lock()
	p.ended = true
	p.mu.Unlock()
	p.running.Wait()
	return p.longest, p.failed, nil
}
