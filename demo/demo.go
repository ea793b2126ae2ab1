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
	stepDuration = 3 * time.Second
	// evacuationTime is how long a failure domain that is out may get new work.
	evacuationTime  = 2 * time.Second
	evacuatedDomain = "ub-khanuul"
	callerCount     = 8
)

// demo is one run.
type demo struct {
	started    time.Time
	deployment *assembler.Deployment
	traffic    *sender.Stream
}

func (m *demo) logf(format string, args ...any) {
	fmt.Printf("%6.2fs  %s\n", time.Since(m.started).Seconds(), fmt.Sprintf(format, args...))
}

func (m *demo) run() error {
	if err := m.start(); err != nil {
		return err
	}
	defer m.deployment.Stop()
	if err := m.sendThroughEachEntry(); err != nil {
		return err
	}
	m.traffic = &sender.Stream{URLs: []string{m.deployment.URL(0), m.deployment.URL(2)}, Callers: callerCount, Keyed: "/guides/next", Orders: "/orders/new"}
	m.traffic.Start()
	steps := []func() error{m.interruptUpstream, m.replaceEntry, m.takeDomainOut, m.putDomainBack}
	for _, step := range steps {
		if err := step(); err != nil {
			return err
		}
	}
	m.traffic.Stop()
	return m.check()
}

// start starts the deployment and applies the sheet.
func (m *demo) start() error {
	config, err := parser.Parse(strings.NewReader(examples.Ulaanbaatar))
	if err != nil {
		return err
	}
	m.deployment = &assembler.Deployment{Config: config, Entries: 3, Work: workTime}
	if err := m.deployment.Start(); err != nil {
		return err
	}
	m.logf("platform, %d upstreams and 3 entry processes are running", len(m.deployment.Config.Servers))
	return m.apply()
}

// apply applies the configuration and waits until it is in force.
func (m *demo) apply() error {
	at := time.Now()
	version, err := m.deployment.Apply(context.Background(), m.deployment.Config)
	if err != nil {
		return err
	}
	if err := m.deployment.AwaitReady(version, readyTimeout); err != nil {
		return err
	}
	m.logf("sheet accepted as version %d, in force everywhere after %s", version, time.Since(at).Round(time.Millisecond))
	return nil
}

// sendThroughEachEntry sends one request of each kind through every entry process.
func (m *demo) sendThroughEachEntry() error {
	upload := bytes.Repeat([]byte("marble run "), uploadSize/11)
	for i := range 3 {
		url := m.deployment.URL(i)
		guide, err := send(sender.Request{Method: "GET", URL: url + "/TIMEOUT%20504/guide/7", Key: "soum-17"})
		if err != nil {
			return err
		}
		order, err := send(sender.Request{Method: "POST", URL: url + "/connection%20refused/order", ID: "order-1", Body: []byte("one crate of track pieces")})
		if err != nil {
			return err
		}
		uploaded, err := send(sender.Request{Method: "POST", URL: url + "/uploads/run.mp4", ID: fmt.Sprintf("film-%d", i), Body: upload})
		if err != nil {
			return err
		}
		m.logf("entry %d: guide from %s, order by %s, %d MB upload at %s with the correct hash", i+1, guide.Upstream, order.Upstream, len(upload)>>20, uploaded.Upstream)
	}
	return nil
}

func send(r sender.Request) (upstreamfaker.Answer, error) {
	return sender.Send(context.Background(), r)
}

// interruptUpstream takes an upstream down for stepDuration.
func (m *demo) interruptUpstream() error {
	name := m.deployment.Config.Servers[2].Name
	m.deployment.Upstreams[name].Inject(upstreamfaker.Faults{Down: true})
	m.logf("upstream %s is down", name)
	time.Sleep(stepDuration)
	m.deployment.Upstreams[name].Inject(upstreamfaker.Faults{})
	m.logf("upstream %s is back; %s", name, m.traffic.Summary())
	return nil
}

// replaceEntry kills an entry process and later starts another in its domain.
func (m *demo) replaceEntry() error {
	domain := m.deployment.Entry(1).Process.Domain
	m.deployment.Entry(1).Kill()
	m.logf("entry 2 is killed")
	time.Sleep(stepDuration)
	if _, err := m.deployment.StartEntry(domain); err != nil {
		return err
	}
	m.logf("another entry process takes its place; %s", m.traffic.Summary())
	return nil
}

// takeDomainOut takes a failure domain out and checks that it gets no new work.
func (m *demo) takeDomainOut() error {
	m.deployment.SetDomain(evacuatedDomain, pimento.StateOut)
	if err := m.apply(); err != nil {
		return err
	}
	time.Sleep(evacuationTime)
	before := m.deployment.RunsIn(evacuatedDomain)
	time.Sleep(stepDuration)
	if after := m.deployment.RunsIn(evacuatedDomain); after != before {
		return fmt.Errorf("failure domain %s is out, but ran %d requests", evacuatedDomain, after-before)
	}
	m.logf("failure domain %s is out and got no new work; %s", evacuatedDomain, m.traffic.Summary())
	return nil
}

func (m *demo) putDomainBack() error {
	before := m.deployment.RunsIn(evacuatedDomain)
	m.deployment.SetDomain(evacuatedDomain, pimento.StateIn)
	if err := m.apply(); err != nil {
		return err
	}
	deadline := time.Now().Add(readyTimeout)
	for m.deployment.RunsIn(evacuatedDomain) == before {
		if time.Now().After(deadline) {
			return fmt.Errorf("failure domain %s is back, but gets no work", evacuatedDomain)
		}
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(stepDuration)
	m.logf("failure domain %s is back and ran %d requests; %s", evacuatedDomain, m.deployment.RunsIn(evacuatedDomain)-before, m.traffic.Summary())
	return nil
}

// check verifies that no answer was wrong or cut off, no request was refused that
// could be answered, and orders ran as their callers were told, none twice.
func (m *demo) check() error {
	s := m.traffic.Summary()
	m.logf("%s", s)
	if len(s.Wrong) > 0 || s.NotRun > 0 || s.Cut > 0 {
		return fmt.Errorf("%d wrong answers (%v), %d cut, %d refused that could be answered", len(s.Wrong), s.Wrong, s.Cut, s.NotRun)
	}
	if err := m.deployment.CheckRuns(m.traffic.OrderOutcomes()); err != nil {
		return err
	}
	m.logf("%d non-idempotent requests ran once each; cold upstreams were overloaded %d times", len(m.deployment.Runs()), m.deployment.FellOver())
	return nil
}
