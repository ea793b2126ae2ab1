package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"pimentorelay.example/pimento"
	"pimentorelay.example/pimento/assembler"
	"pimentorelay.example/pimento/examples"
	"pimentorelay.example/pimento/parser"
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
)

// demo is one run.
type demo struct {
	started time.Time
	d       *assembler.Deployment
	config  pimento.Config
	traffic *traffic
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
	m.traffic = &traffic{urls: []string{m.d.URL(0), m.d.URL(2)}}
	m.traffic.start()
	steps := []func() error{m.loseUpstream, m.loseEntry, m.domainLeaves, m.domainReturns}
	for _, step := range steps {
		if err := step(); err != nil {
			return err
		}
	}
	m.traffic.stop()
	m.say("%s", m.traffic)
	return errors.Join(m.traffic.err(), m.checkRuns())
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
	m.config = m.d.Config
	m.say("platform, %d upstreams and 3 entry processes run", len(m.config.Servers))
	return m.apply()
}

// apply accepts the configuration and waits until it is in force.
func (m *demo) apply() error {
	at := time.Now()
	version, err := m.d.Apply(context.Background(), m.config)
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
		browse, err := send("GET", url+"/TIMEOUT%20504/guide/7", "soum-17", "", nil)
		if err != nil {
			return err
		}
		order, err := send("POST", url+"/connection%20refused/order", "", "order-1", []byte("one crate of track pieces"))
		if err != nil {
			return err
		}
		film, err := send("POST", url+"/uploads/run.mp4", "", fmt.Sprintf("film-%d", i), upload)
		if err != nil {
			return err
		}
		m.say("entry %d: guide from %s, order by %s, %d MB film at %s with the right hash", i+1, browse.Upstream, order.Upstream, len(upload)>>20, film.Upstream)
	}
	return nil
}

// loseUpstream lets an upstream vanish for a while.
func (m *demo) loseUpstream() error {
	name := m.config.Servers[2].Name
	m.d.Upstreams[name].Inject(upstreamfaker.Faults{Down: true})
	m.say("upstream %s is down", name)
	time.Sleep(outageTime)
	m.d.Upstreams[name].Inject(upstreamfaker.Faults{})
	m.say("upstream %s is back; %s", name, m.traffic)
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
	m.say("another entry process takes its place; %s", m.traffic)
	return nil
}

// domainLeaves takes a failure domain out and sees that it gets no new work.
func (m *demo) domainLeaves() error {
	m.setDomain(pimento.StateOut)
	if err := m.apply(); err != nil {
		return err
	}
	time.Sleep(leaveTime)
	before := m.runsIn(outDomain)
	time.Sleep(outageTime)
	if after := m.runsIn(outDomain); after != before {
		return fmt.Errorf("failure domain %s is out, but ran %d requests", outDomain, after-before)
	}
	m.say("failure domain %s is out and got no new work; %s", outDomain, m.traffic)
	return nil
}

func (m *demo) domainReturns() error {
	before := m.runsIn(outDomain)
	m.setDomain(pimento.StateIn)
	if err := m.apply(); err != nil {
		return err
	}
	deadline := time.Now().Add(readyTimeout)
	for m.runsIn(outDomain) == before {
		if time.Now().After(deadline) {
			return fmt.Errorf("failure domain %s is back, but gets no work", outDomain)
		}
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(outageTime)
	m.say("failure domain %s is back and ran %d requests; %s", outDomain, m.runsIn(outDomain)-before, m.traffic)
	return nil
}

func (m *demo) setDomain(state pimento.State) {
	for i := range m.config.Domains {
		if m.config.Domains[i].Name == outDomain {
			m.config.Domains[i].State = state
		}
	}
}

// runsIn counts the requests that upstreams of a failure domain have run.
func (m *demo) runsIn(domain pimento.DomainName) int {
	n := 0
	for _, s := range m.config.Servers {
		if m.config.DomainOf(s) == domain {
			n += m.d.Upstreams[s.Name].Report().Runs
		}
	}
	return n
}

// checkRuns sees that no non-idempotent request ran twice.
func (m *demo) checkRuns() error {
	runs := make(map[string]int)
	fell := 0
	for _, u := range m.d.Upstreams {
		fell += u.Report().FellOver
		for _, r := range u.Journal() {
			if !r.Idempotent {
				runs[r.ID]++
			}
		}
	}
	for id, n := range runs {
		if n > 1 {
			return fmt.Errorf("request %q ran %d times", id, n)
		}
	}
	m.say("%d non-idempotent requests ran once each; cold upstreams fell over %d times", len(runs), fell)
	return nil
}
