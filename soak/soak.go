package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"pimentorelay.example/pimento"
	"pimentorelay.example/pimento/assembler"
	"pimentorelay.example/pimento/parser"
	"pimentorelay.example/pimento/sender"
)

const (
	domainCount = 3
	// startTimeout bounds the time until all entries serve requests.
	startTimeout = 20 * time.Second
	// recoveryTimeout bounds the time until all requests are served after the last
	// fault. It covers the wait for a former leader of which nothing is known,
	// elector.Timing.MaxWithoutStore plus a lease.
	recoveryTimeout = 25 * time.Second
	callerCount     = 12
	// workTime is how long a request occupies a slot.
	workTime = 4 * time.Millisecond
	// maxFaultInterval bounds the time between two faults, maxFaultDuration how long
	// each lasts.
	maxFaultInterval = 900 * time.Millisecond
	maxFaultDuration = 4 * time.Second
	exitTimeout      = 10 * time.Second

	keyedPath = "/TIMEOUT%20504/guide"
	orderPath = "/connection%20refused/order"
)

// soak runs one seed after the other. Set the exported fields before run.
type soak struct {
	Seed      uint64
	For       time.Duration
	Entries   int
	Upstreams int
	Relay     string
	Logs      string

	deployment      *assembler.Deployment
	entries         []*entry
	upstreamProxies []*proxy // in the order of Config.Servers
	storeProxies    []*proxy // one for each entry
	logDir          string
	faultEnds       sync.WaitGroup // pending ends of faults
}

// run runs one seed.
func (s *soak) run() error {
	s.entries, s.upstreamProxies, s.storeProxies = nil, nil, nil
	s.logDir = filepath.Join(s.Logs, fmt.Sprintf("seed-%d", s.Seed))
	if err := os.MkdirAll(s.logDir, 0o755); err != nil {
		return err
	}
	defer s.stop()
	if err := s.start(); err != nil {
		return err
	}
	stream := &sender.Stream{Callers: callerCount, Keyed: keyedPath, Orders: orderPath, APIKey: usualKey}
	for _, e := range s.entries {
		stream.URLs = append(stream.URLs, "http://"+e.caller.String())
	}
	stream.Start()
	customers := s.startCustomers()
	log := s.injectFaults()
	s.faultEnds.Wait()
	recoveryErr := s.awaitRecovery()
	stream.Stop()
	customers.stop()
	err := errors.Join(recoveryErr, s.check(stream), customers.check(s.deployment))
	fmt.Printf("seed %d: %d faults; %s\n", s.Seed, len(log), stream.Summary())
	if err != nil {
		fmt.Println(strings.Join(log, "\n"))
		fmt.Println("logs:", s.logDir)
	}
	return err
}

// config returns the configuration of the deployment.
func (s *soak) config() (pimento.Config, error) {
	var b strings.Builder
	b.WriteString("Kind,Name,Service,Domain,Host,Address,Sharing,Fencing,Slots,Connections,State,Access,Keys,Rate,Burst,Priority\n")
	b.WriteString("Service,guidebook,,,,,Keyed,Checked,,,\nService,partsdesk,,,,,Unkeyed,Unchecked,,,\n")
	b.WriteString("Category,TIMEOUT 504,guidebook,,,,,,,,\nCategory,connection refused,partsdesk,,,,,,,,\n")
	for d := range domainCount {
		fmt.Fprintf(&b, "Domain,d%d,,,,,,,,,In\n", d)
	}
	for i := range s.Upstreams {
		fmt.Fprintf(&b, "Host,h%d,,d%d,,,,,,,Arriving\n", i, i%domainCount)
		fmt.Fprintf(&b, "Upstream,guidebook-%d,guidebook,,h%d,127.0.0.1:%d,,,4,50,\n", i, i, 1000+i)
		fmt.Fprintf(&b, "Upstream,partsdesk-%d,partsdesk,,h%d,127.0.0.1:%d,,,4,50,\n", i, i, 2000+i)
	}
	b.WriteString(customerRows)
	return parser.Parse(strings.NewReader(b.String()))
}

// start starts stand-ins, proxies and entries, and waits until all entries serve
// requests.
func (s *soak) start() error {
	config, err := s.config()
	if err != nil {
		return err
	}
	s.deployment = &assembler.Deployment{Config: config, Work: workTime, ExternalEntries: true, Proxy: s.addUpstreamProxy}
	if err := s.deployment.Start(); err != nil {
		return err
	}
	if _, err := s.deployment.Apply(context.Background(), s.deployment.Config); err != nil {
		return err
	}
	for i := range s.Entries {
		e, err := newEntry(i, domainCount)
		if err != nil {
			return err
		}
		p, err := newProxy(s.deployment.StoreAddress())
		if err != nil {
			return err
		}
		s.entries, s.storeProxies = append(s.entries, e), append(s.storeProxies, p)
		if err := s.startEntry(i); err != nil {
			return err
		}
	}
	return s.awaitServing(startTimeout)
}

func (s *soak) startEntry(i int) error {
	return s.entries[i].start(s.Relay, s.logDir, s.storeProxies[i].address())
}

func (s *soak) addUpstreamProxy(target netip.AddrPort) (netip.AddrPort, error) {
	p, err := newProxy(target)
	if err != nil {
		return netip.AddrPort{}, err
	}
	s.upstreamProxies = append(s.upstreamProxies, p)
	return p.address(), nil
}

// stop kills the entries and stops the proxies and the stand-ins.
func (s *soak) stop() {
	for _, e := range s.entries {
		if e.signal(syscall.SIGKILL) {
			e.awaitExit(exitTimeout)
		}
	}
	for _, p := range slices.Concat(s.upstreamProxies, s.storeProxies) {
		p.close()
	}
	if s.deployment != nil {
		s.deployment.Stop()
	}
}

// injectFaults injects faults until For is over, and returns a line for each with
// its time.
func (s *soak) injectFaults() []string {
	rng := rand.New(rand.NewPCG(s.Seed, 0))
	started := time.Now()
	var log []string
	for time.Since(started) < s.For {
		time.Sleep(time.Duration(rng.Int64N(int64(maxFaultInterval))))
		description := s.injectFault(rng, time.Duration(rng.Int64N(int64(maxFaultDuration))))
		log = append(log, fmt.Sprintf("  %8s %s", time.Since(started).Round(time.Millisecond), description))
	}
	return log
}

// runAfter calls f after a delay. The run waits for it before it checks recovery.
func (s *soak) runAfter(delay time.Duration, f func()) {
	s.faultEnds.Go(func() {
		time.Sleep(delay)
		f()
	})
}

// awaitRecovery clears what overlapping faults may have left, and waits until all
// entries serve requests.
func (s *soak) awaitRecovery() error {
	s.clearFaults()
	return s.awaitServing(recoveryTimeout)
}

// awaitServing waits until probe succeeds.
func (s *soak) awaitServing(timeout time.Duration) error {
	deadline := time.Now().Add(timeout)
	var err error
	for time.Now().Before(deadline) {
		if err = s.probe(); err == nil {
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("not all requests are served after %s: %w", timeout, err)
}

// probe reads a few keys through each entry, one after the other.
func (s *soak) probe() error {
	for _, e := range s.entries {
		for k := range 16 {
			r := sender.Request{Method: "GET", URL: "http://" + e.caller.String() + keyedPath, Key: fmt.Sprintf("probe-%d", k), APIKey: usualKey, Timeout: 2 * time.Second}
			if _, err := sender.Send(context.Background(), r); err != nil {
				return fmt.Errorf("%s: %w", e.name, err)
			}
		}
	}
	return nil
}
