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
	domains = 3
	// startTimeout bounds the time until all entries answer.
	startTimeout = 20 * time.Second
	// healTime is how long a deployment may take to serve all after the last
	// failure. It covers a leader of whom nothing is known.
	healTime = 25 * time.Second
	// callerCount is the number of callers.
	callerCount = 12
	// work is how long a request occupies a slot.
	work = 4 * time.Millisecond
	// maxPause bounds the time between two failures, maxSpan how long each
	// lasts.
	maxPause = 900 * time.Millisecond
	maxSpan  = 4 * time.Second
	endWait  = 10 * time.Second

	keyedPath = "/TIMEOUT%20504/guide"
	orderPath = "/connection%20refused/order"
)

// soak is one run after the other. Set the exported fields before run.
type soak struct {
	Seed      uint64
	For       time.Duration
	Entries   int
	Upstreams int
	Relay     string
	Logs      string

	deployment *assembler.Deployment
	entries    []*entry
	proxies    []*proxy // of the upstreams
	stores     []*proxy // one for each entry
	folder     string
	healing    sync.WaitGroup
}

// run runs one seed.
func (s *soak) run() error {
	s.entries, s.proxies, s.stores = nil, nil, nil
	s.folder = filepath.Join(s.Logs, fmt.Sprintf("seed-%d", s.Seed))
	if err := os.MkdirAll(s.folder, 0o755); err != nil {
		return err
	}
	defer s.end()
	if err := s.start(); err != nil {
		return err
	}
	stream := &sender.Stream{Callers: callerCount, Keyed: keyedPath, Orders: orderPath}
	for _, e := range s.entries {
		stream.URLs = append(stream.URLs, "http://"+e.caller.String())
	}
	stream.Start()
	log := s.strikeAll()
	s.healing.Wait()
	healed := s.awaitHealed()
	stream.Stop()
	err := errors.Join(healed, s.check(stream))
	fmt.Printf("seed %d: %d failures; %s\n", s.Seed, len(log), stream.Summary())
	if err != nil {
		fmt.Println(strings.Join(log, "\n"))
		fmt.Println("logs:", s.folder)
	}
	return err
}

// sheet describes the deployment.
func (s *soak) sheet() (pimento.Config, error) {
	var b strings.Builder
	b.WriteString("Kind,Name,Service,Domain,Host,Address,Sharing,Fencing,Slots,Connections,State\n")
	b.WriteString("Service,guidebook,,,,,Keyed,Checked,,,\nService,partsdesk,,,,,Unkeyed,Unchecked,,,\n")
	b.WriteString("Category,TIMEOUT 504,guidebook,,,,,,,,\nCategory,connection refused,partsdesk,,,,,,,,\n")
	for d := range domains {
		fmt.Fprintf(&b, "Domain,d%d,,,,,,,,,In\n", d)
	}
	for i := range s.Upstreams {
		fmt.Fprintf(&b, "Host,h%d,,d%d,,,,,,,Arriving\n", i, i%domains)
		fmt.Fprintf(&b, "Upstream,guidebook-%d,guidebook,,h%d,127.0.0.1:%d,,,4,50,\n", i, i, 1000+i)
		fmt.Fprintf(&b, "Upstream,partsdesk-%d,partsdesk,,h%d,127.0.0.1:%d,,,4,50,\n", i, i, 2000+i)
	}
	return parser.Parse(strings.NewReader(b.String()))
}

// start starts stand-ins, proxies and entries, and waits until all serve.
func (s *soak) start() error {
	config, err := s.sheet()
	if err != nil {
		return err
	}
	s.deployment = &assembler.Deployment{Config: config, Work: work, Outside: true, Front: s.front}
	if err := s.deployment.Start(); err != nil {
		return err
	}
	if _, err := s.deployment.Apply(context.Background(), s.deployment.Config); err != nil {
		return err
	}
	for i := range s.Entries {
		e, err := newEntry(i, domains)
		if err != nil {
			return err
		}
		p, err := newProxy(s.deployment.StoreAddress())
		if err != nil {
			return err
		}
		s.entries, s.stores = append(s.entries, e), append(s.stores, p)
		if err := s.startEntry(i); err != nil {
			return err
		}
	}
	return s.awaitServed(startTimeout)
}

func (s *soak) startEntry(i int) error {
	return s.entries[i].start(s.Relay, s.folder, s.stores[i].address())
}

func (s *soak) front(to netip.AddrPort) (netip.AddrPort, error) {
	p, err := newProxy(to)
	if err != nil {
		return netip.AddrPort{}, err
	}
	s.proxies = append(s.proxies, p)
	return p.address(), nil
}

// end ends everything that was started.
func (s *soak) end() {
	for _, e := range s.entries {
		if e.signal(syscall.SIGKILL) {
			e.wait(endWait)
		}
	}
	for _, p := range slices.Concat(s.proxies, s.stores) {
		p.close()
	}
	if s.deployment != nil {
		s.deployment.Stop()
	}
}

// strikeAll brings failures about until the time is over, and returns what was
// done when.
func (s *soak) strikeAll() []string {
	rng := rand.New(rand.NewPCG(s.Seed, 0))
	started := time.Now()
	var log []string
	for time.Since(started) < s.For {
		time.Sleep(time.Duration(rng.Int64N(int64(maxPause))))
		what := s.strike(rng, time.Duration(rng.Int64N(int64(maxSpan))))
		log = append(log, fmt.Sprintf("  %8s %s", time.Since(started).Round(time.Millisecond), what))
	}
	return log
}

// after runs a function later; the run waits for it before it looks whether all
// has healed.
func (s *soak) after(d time.Duration, do func()) {
	s.healing.Go(func() {
		time.Sleep(d)
		do()
	})
}

// awaitHealed heals what may have been left by overlapping failures, and waits
// until all is served.
func (s *soak) awaitHealed() error {
	s.heal()
	return s.awaitServed(healTime)
}

// awaitServed waits until every entry answers reads of many keys, one after the
// other.
func (s *soak) awaitServed(timeout time.Duration) error {
	deadline := time.Now().Add(timeout)
	var err error
	for time.Now().Before(deadline) {
		if err = s.probe(); err == nil {
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("not all is served %s after the last failure: %w", timeout, err)
}

// probe reads a few keys through each entry.
func (s *soak) probe() error {
	for _, e := range s.entries {
		for k := range 16 {
			r := sender.Request{Method: "GET", URL: "http://" + e.caller.String() + keyedPath, Key: fmt.Sprintf("probe-%d", k), Timeout: 2 * time.Second}
			if _, err := sender.Send(context.Background(), r); err != nil {
				return fmt.Errorf("%s: %w", e.name, err)
			}
		}
	}
	return nil
}
