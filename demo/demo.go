package main

import (
	"bytes"
	"context"
	"fmt"
	"strings"
	"time"

	"pimentorelay.example/pimento"
	"pimentorelay.example/pimento/assembler"
	"pimentorelay.example/pimento/examples"
	"pimentorelay.example/pimento/parser"
	"pimentorelay.example/pimento/sender"
	"pimentorelay.example/pimento/upstreamfaker"
)

const (
	workTime     = 2 * time.Millisecond
	readyTimeout = 10 * time.Second
	uploadSize   = 8 << 20 // bytes
	outageTime   = 3 * time.Second
	// leaveTime is when a failure domain must have no new work any more.
	leaveTime = 2 * time.Second
	outDomain = "ub-khanuul"
	callers   = 8
)

// demo is one run.
type demo struct {
	started time.Time
	d       *assembler.Deployment
	traffic *sender.Stream
}

func (m *demo) say(format string, args ...any) {
	fmt.Printf("%6.2fs  %s\n", time.Since(m.started).Seconds(), fmt.Sprintf(format, args...))
}

func (m *demo) run() error {
	if err := m.start(); err != nil {
		return err
	}
	defer m.d.Stop()
	if err := m.eachEntry(); err != nil {
		return err
	}
	m.traffic = &sender.Stream{URLs: []string{m.d.URL(0), m.d.URL(2)}, Callers: callers, Keyed: "/guides/next", Orders: "/orders/new"}
	m.traffic.Start()
	steps := []func() error{m.loseUpstream, m.loseEntry, m.domainLeaves, m.domainReturns}
	for _, step := range steps {
		if err := step(); err != nil {
			return err
		}
	}
	m.traffic.Stop()
	return m.check()
}

// start starts everything and applies the sheet.
func (m *demo) start() error {
	config, err := parser.Parse(strings.NewReader(examples.Ulaanbaatar))
	if err != nil {
		return err
	}
	m.d = &assembler.Deployment{Config: config, Entries: 3, Work: workTime}
	if err := m.d.Start(); err != nil {
		return err
	}
	m.say("platform, %d upstreams and 3 entry processes run", len(m.d.Config.Servers))
	return m.apply()
}

// apply accepts the configuration and waits until it is in force.
func (m *demo) apply() error {
	at := time.Now()
	version, err := m.d.Apply(context.Background(), m.d.Config)
	if err != nil {
		return err
	}
	if err := m.d.AwaitReady(version, readyTimeout); err != nil {
		return err
	}
	m.say("sheet accepted as version %d, in force everywhere after %s", version, time.Since(at).Round(time.Millisecond))
	return nil
}

// eachEntry sends one request of each kind through every entry process.
func (m *demo) eachEntry() error {
	upload := bytes.Repeat([]byte("marble run "), uploadSize/11)
	for i := range 3 {
		url := m.d.URL(i)
		browse, err := send(sender.Request{Method: "GET", URL: url + "/TIMEOUT%20504/guide/7", Key: "soum-17"})
		if err != nil {
			return err
		}
		order, err := send(sender.Request{Method: "POST", URL: url + "/connection%20refused/order", ID: "order-1", Body: []byte("one crate of track pieces")})
		if err != nil {
			return err
		}
		film, err := send(sender.Request{Method: "POST", URL: url + "/uploads/run.mp4", ID: fmt.Sprintf("film-%d", i), Body: upload})
		if err != nil {
			return err
		}
		m.say("entry %d: guide from %s, order by %s, %d MB film at %s with the right hash", i+1, browse.Upstream, order.Upstream, len(upload)>>20, film.Upstream)
	}
	return nil
}

func send(r sender.Request) (upstreamfaker.Answer, error) {
	return sender.Send(context.Background(), r)
}

// loseUpstream lets an upstream vanish for a while.
func (m *demo) loseUpstream() error {
	name := m.d.Config.Servers[2].Name
	m.d.Upstreams[name].Inject(upstreamfaker.Faults{Down: true})
	m.say("upstream %s is down", name)
	time.Sleep(outageTime)
	m.d.Upstreams[name].Inject(upstreamfaker.Faults{})
	m.say("upstream %s is back; %s", name, m.traffic.Summary())
	return nil
}

// loseEntry kills an entry process and starts another.
func (m *demo) loseEntry() error {
	domain := m.d.Entry(1).Process.Domain
	m.d.Entry(1).Kill()
	m.say("entry 2 is killed")
	time.Sleep(outageTime)
	if _, err := m.d.StartEntry(domain); err != nil {
		return err
	}
	m.say("another entry process takes its place; %s", m.traffic.Summary())
	return nil
}

// domainLeaves takes a failure domain out and sees that it gets no new work.
func (m *demo) domainLeaves() error {
	m.d.SetDomain(outDomain, pimento.StateOut)
	if err := m.apply(); err != nil {
		return err
	}
	time.Sleep(leaveTime)
	before := m.d.RunsIn(outDomain)
	time.Sleep(outageTime)
	if after := m.d.RunsIn(outDomain); after != before {
		return fmt.Errorf("failure domain %s is out, but ran %d requests", outDomain, after-before)
	}
	m.say("failure domain %s is out and got no new work; %s", outDomain, m.traffic.Summary())
	return nil
}

func (m *demo) domainReturns() error {
	before := m.d.RunsIn(outDomain)
	m.d.SetDomain(outDomain, pimento.StateIn)
	if err := m.apply(); err != nil {
		return err
	}
	deadline := time.Now().Add(readyTimeout)
	for m.d.RunsIn(outDomain) == before {
		if time.Now().After(deadline) {
			return fmt.Errorf("failure domain %s is back, but gets no work", outDomain)
		}
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(outageTime)
	m.say("failure domain %s is back and ran %d requests; %s", outDomain, m.d.RunsIn(outDomain)-before, m.traffic.Summary())
	return nil
}

// check sees that every answer was right, nothing was refused that could be
// answered, and nothing non-idempotent ran twice.
func (m *demo) check() error {
	s := m.traffic.Summary()
	m.say("%s", s)
	if len(s.Wrong) > 0 || s.NotRun > 0 || s.Cut > 0 {
		return fmt.Errorf("%d wrong answers (%v), %d cut, %d refused that could be answered", len(s.Wrong), s.Wrong, s.Cut, s.NotRun)
	}
	if err := m.d.CheckRuns(m.traffic.OrderOutcomes()); err != nil {
		return err
	}
	m.say("%d non-idempotent requests ran once each; cold upstreams fell over %d times", len(m.d.Runs()), m.d.FellOver())
	return nil
}
