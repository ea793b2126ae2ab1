package assembler_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"pimentorelay.example/pimento"
	"pimentorelay.example/pimento/assembler"
	"pimentorelay.example/pimento/parser"
	"pimentorelay.example/pimento/sender"
	"pimentorelay.example/pimento/storefaker"
	"pimentorelay.example/pimento/upstreamfaker"
)

const readyTimeout = 30 * time.Second

// smallConfig has three failure domains and two upstreams of each service in
// each, so that the loss of a domain leaves two thirds of the upstreams.
func smallConfig(t *testing.T) pimento.Config {
	t.Helper()
	var b strings.Builder
	b.WriteString("Kind,Name,Service,Domain,Host,Address,Sharing,Fencing,Slots,Connections,State\n")
	b.WriteString("Service,guidebook,,,,,Keyed,Checked,,,\nService,partsdesk,,,,,Unkeyed,Unchecked,,,\n")
	b.WriteString("Category,TIMEOUT 504,guidebook,,,,,,,,\nCategory,connection refused,partsdesk,,,,,,,,\n")
	for d := range 3 {
		fmt.Fprintf(&b, "Domain,d%d,,,,,,,,,In\n", d)
	}
	for i := range 6 {
		fmt.Fprintf(&b, "Host,h%d,,d%d,,,,,,,Arriving\n", i, i%3)
		fmt.Fprintf(&b, "Upstream,guidebook-%d,guidebook,,h%d,127.0.0.1:%d,,,4,50,\n", i, i, 1000+i)
		fmt.Fprintf(&b, "Upstream,partsdesk-%d,partsdesk,,h%d,127.0.0.1:%d,,,4,50,\n", i, i, 2000+i)
	}
	config, err := parser.Parse(strings.NewReader(b.String()))
	if err != nil {
		t.Fatal(err)
	}
	return config
}

// startDeployment starts a deployment with smallConfig in force.
func startDeployment(t *testing.T) *assembler.Deployment {
	t.Helper()
	d := &assembler.Deployment{Config: smallConfig(t), Entries: 5, Work: time.Millisecond}
	if err := d.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Stop)
	applyConfig(t, d)
	return d
}

func applyConfig(t *testing.T, d *assembler.Deployment) {
	t.Helper()
	version, err := d.Apply(t.Context(), d.Config)
	if err != nil {
		t.Fatal(err)
	}
	if err := d.AwaitReady(version, readyTimeout); err != nil {
		t.Fatal(err)
	}
}

func startStream(d *assembler.Deployment, entries ...int) *sender.Stream {
	s := &sender.Stream{Callers: 6, Keyed: "/TIMEOUT%20504/guide", Orders: "/connection%20refused/order"}
	for _, i := range entries {
		s.URLs = append(s.URLs, d.URL(i))
	}
	s.Start()
	return s
}

// faultCase is a fault that is injected while requests are sent through entries 0
// and 1, which it never kills.
type faultCase struct {
	name   string
	inject func(t *testing.T, d *assembler.Deployment)
	// repair ends the fault; nil if there is nothing to do.
	repair func(t *testing.T, d *assembler.Deployment)
}

// Entries 0 to 4 are in d0, d1, d2, d0, d1.
var faultCases = []faultCase{
	{name: "an entry process is killed", inject: func(_ *testing.T, d *assembler.Deployment) { d.Entry(2).Kill() }},
	{name: "two entry processes of two domains are killed at once", inject: func(_ *testing.T, d *assembler.Deployment) {
		d.Entry(2).Kill()
		d.Entry(3).Kill()
	}},
	{
		name: "an entry process is killed while the platform is down",
		inject: func(_ *testing.T, d *assembler.Deployment) {
			d.Store.Inject(storefaker.Faults{Outage: storefaker.OutageReset})
			d.Entry(2).Kill()
		},
		repair: func(_ *testing.T, d *assembler.Deployment) { d.Store.Inject(storefaker.Faults{}) },
	},
	{name: "an entry process shuts down gracefully", inject: func(t *testing.T, d *assembler.Deployment) {
		if err := d.Entry(2).Stop(); err != nil {
			t.Error(err)
		}
	}},
	{
		name: "an upstream is down and returns",
		inject: func(_ *testing.T, d *assembler.Deployment) {
			d.Upstreams["guidebook-1"].Inject(upstreamfaker.Faults{Down: true})
		},
		repair: func(_ *testing.T, d *assembler.Deployment) {
			d.Upstreams["guidebook-1"].Inject(upstreamfaker.Faults{})
		},
	},
	{
		name: "an upstream freezes and returns",
		inject: func(_ *testing.T, d *assembler.Deployment) {
			d.Upstreams["guidebook-1"].Inject(upstreamfaker.Faults{Freeze: true})
			d.Upstreams["partsdesk-1"].Inject(upstreamfaker.Faults{Freeze: true})
		},
		repair: func(_ *testing.T, d *assembler.Deployment) {
			d.Upstreams["guidebook-1"].Inject(upstreamfaker.Faults{})
			d.Upstreams["partsdesk-1"].Inject(upstreamfaker.Faults{})
		},
	},
	{
		name: "an upstream is lost while the platform is down",
		inject: func(_ *testing.T, d *assembler.Deployment) {
			d.Store.Inject(storefaker.Faults{Outage: storefaker.OutageReset})
			d.Upstreams["guidebook-1"].Inject(upstreamfaker.Faults{Down: true})
		},
		repair: func(_ *testing.T, d *assembler.Deployment) {
			d.Store.Inject(storefaker.Faults{})
			d.Upstreams["guidebook-1"].Inject(upstreamfaker.Faults{})
		},
	},
	{
		name: "upstreams restart cold without a warning",
		inject: func(_ *testing.T, d *assembler.Deployment) {
			d.Upstreams["guidebook-1"].Start()
			d.Upstreams["partsdesk-1"].Start()
		},
	},
	{
		name: "a failure domain is lost with its processes and upstreams",
		inject: func(_ *testing.T, d *assembler.Deployment) {
			d.Entry(2).Kill()
			for _, i := range []int{2, 5} {
				d.Upstreams[pimento.UpstreamName(fmt.Sprintf("guidebook-%d", i))].Inject(upstreamfaker.Faults{Down: true})
				d.Upstreams[pimento.UpstreamName(fmt.Sprintf("partsdesk-%d", i))].Inject(upstreamfaker.Faults{Down: true})
			}
		},
	},
	{
		name: "writes to the platform take effect without an answer",
		inject: func(t *testing.T, d *assembler.Deployment) {
			d.Store.Inject(storefaker.Faults{LoseAnswers: 3})
			d.Entry(2).Kill()
		},
	},
	{
		name: "answers are crossed, cut short and sent twice",
		inject: func(_ *testing.T, d *assembler.Deployment) {
			for _, u := range d.Upstreams {
				u.Inject(upstreamfaker.Faults{CrossNext: 2, CutNext: 2, ExtraNext: 2})
			}
		},
	},
	{name: "the platform is slow", inject: func(_ *testing.T, d *assembler.Deployment) {
		d.Store.Inject(storefaker.Faults{Delay: pimento.Span(300 * time.Millisecond)})
		d.Entry(2).Kill()
	}},
}

// TestFaults injects one fault at a time under load. No answer may be wrong, no
// non-idempotent request may run twice, none refused as not run may have run, and
// callers that retry as told are answered in time.
func TestFaults(t *testing.T) {
	for _, c := range faultCases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			d := startDeployment(t)
			s := startStream(d, 0, 1)
			time.Sleep(300 * time.Millisecond)
			c.inject(t, d)
			time.Sleep(1500 * time.Millisecond)
			if c.repair != nil {
				c.repair(t, d)
			}
			time.Sleep(500 * time.Millisecond)
			s.Stop()
			got := s.Summary()
			t.Log(got)
			is.Equal(len(got.Wrong), 0) // no wrong answer passes as complete
			is.Equal(got.NotRun, 0)     // callers that retry as told are answered before their deadline
			is.NoErr(d.CheckRuns(s.OrderOutcomes()))
			is.Equal(d.FellOver(), 0) // no cold upstream gets more than it can handle
		})
	}
}

// orderReplicas returns the indexes of the entries that keep the records of orders:
// the primary and the backup.
func orderReplicas(t *testing.T, d *assembler.Deployment) [2]int {
	t.Helper()
	a := storedAssignment(t, d)
	var out [2]int
	for i := range out {
		for n := range 5 {
			if d.Entry(n).Process.ID == a.PoolsOf("partsdesk")[0].PreferenceList[i] {
				out[i] = n
			}
		}
	}
	return out
}

// TestDuplicates resends an order through all entries that are left after the
// process that keeps its record, the one that has a copy, the one that received
// it, or two of them were killed. The order may run only once.
func TestDuplicates(t *testing.T) {
	for _, receiver := range []int{0, 2, 4} {
		for _, victims := range []string{"nobody", "keeper", "copy", "receiver", "keeper and receiver", "keeper and copy"} {
			t.Run(fmt.Sprintf("receiver %d, killed %s", receiver, victims), func(t *testing.T) {
				is := is.New(t)
				d := startDeployment(t)
				r := sender.Request{Method: "POST", URL: d.URL(receiver) + "/connection%20refused/order", ID: "order", Body: []byte("crate")}
				first, err := sender.Send(t.Context(), r)
				is.NoErr(err)
				replicas := orderReplicas(t, d)
				killed := map[int]bool{}
				if strings.Contains(victims, "keeper") {
					killed[replicas[0]] = true
				}
				if strings.Contains(victims, "copy") {
					killed[replicas[1]] = true
				}
				if strings.Contains(victims, "receiver") {
					killed[receiver] = true
				}
				for i := range killed {
					d.Entry(i).Kill()
				}
				for i := range 5 {
					if killed[i] {
						continue
					}
					r.URL = d.URL(i) + "/connection%20refused/order"
					again, err := sender.Send(t.Context(), r)
					if err == nil {
						is.Equal(again, first) // the recorded answer
						continue
					}
					refused, ok := err.(*sender.RefusedError)
					is.True(ok)
					is.Equal(refused.Outcome, pimento.OutcomeUnknown)   // it ran, so NotRun would be false
					is.True(killed[replicas[0]] && killed[replicas[1]]) // a record survives the loss of one
				}
				is.Equal(d.Runs()["order"], 1)
			})
		}
	}
}

// TestDuplicateWhileRunning sends duplicates of an order at the same time through
// all entries. All must get the answer of the one that ran.
func TestDuplicateWhileRunning(t *testing.T) {
	is := is.New(t)
	d := startDeployment(t)
	for _, u := range d.Upstreams {
		u.Inject(upstreamfaker.Faults{Late: pimento.Span(200 * time.Millisecond)})
	}
	answers := make([]upstreamfaker.Answer, 10)
	errs := make([]error, len(answers))
	var wg sync.WaitGroup
	for i := range answers {
		wg.Go(func() {
			answers[i], errs[i] = sender.Send(context.Background(), sender.Request{
				Method: "POST", URL: d.URL(i%5) + "/connection%20refused/order", ID: "order", Body: []byte("crate"),
			})
		})
	}
	wg.Wait()
	for i := range answers {
		is.NoErr(errs[i])
		is.Equal(answers[i], answers[0])
	}
	is.Equal(d.Runs()["order"], 1)
}

// TestDomainLeavesAndReturns takes a failure domain out under load. It must get no
// new work once the configuration is in force, and work again after its return.
func TestDomainLeavesAndReturns(t *testing.T) {
	is := is.New(t)
	d := startDeployment(t)
	s := startStream(d, 0, 1, 2, 3, 4)
	time.Sleep(500 * time.Millisecond)
	d.SetDomain("d1", pimento.StateOut)
	applyConfig(t, d)
	time.Sleep(500 * time.Millisecond) // for the requests in flight
	before := d.RunsIn("d1")
	time.Sleep(time.Second)
	is.Equal(d.RunsIn("d1"), before) // no new work
	d.SetDomain("d1", pimento.StateIn)
	applyConfig(t, d)
	for deadline := time.Now().Add(readyTimeout); d.RunsIn("d1") == before; time.Sleep(10 * time.Millisecond) {
		is.True(time.Now().Before(deadline)) // it must get work again
	}
	s.Stop()
	t.Log(s.Summary())
	is.Equal(s.Summary().Answered, s.Summary().Sent) // no failed request
	is.NoErr(d.CheckRuns(s.OrderOutcomes()))
	is.Equal(d.FellOver(), 0)
}

// TestRollingReplacement replaces all entry processes one by one under load.
func TestRollingReplacement(t *testing.T) {
	is := is.New(t)
	d := startDeployment(t)
	for i := range 5 {
		s := startStream(d, (i+1)%5+5*((i+1)/5), (i+2)%5+5*((i+2)/5))
		_, err := d.StartEntry(d.Entry(i).Process.Domain)
		is.NoErr(err)
		is.NoErr(d.Entry(i).Stop())
		s.Stop()
		t.Log(s.Summary())
		is.Equal(s.Summary().Answered, s.Summary().Sent) // no request is cut off
		is.NoErr(d.CheckRuns(s.OrderOutcomes()))
	}
}

// TestAllProcessesLost kills every entry process at once. New ones on other
// hosts must serve although the old hosts never register again.
func TestAllProcessesLost(t *testing.T) {
	is := is.New(t)
	d := startDeployment(t)
	for i := range 5 {
		d.Entry(i).Kill()
	}
	for i := range 3 {
		_, err := d.StartEntry(d.Config.Domains[i].Name)
		is.NoErr(err)
	}
	is.NoErr(d.AwaitReady(1, readyTimeout))
	_, err := sender.Send(t.Context(), sender.Request{Method: "GET", URL: d.URL(5) + "/TIMEOUT%20504/guide", Key: "soum-1"})
	is.NoErr(err)
}
