package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

const (
	// controlFor is how long consumers send requests, and servers are replaced.
	controlFor = 88 * time.Second
	// controlServers is how many servers there are.
	controlServers = 10
	// repeatFor is how long servers send second answers at a time, repeatPause the time
	// between.
	repeatFor   = 5 * time.Second
	repeatPause = time.Second
	// replaceCount servers leave at a time, replaceEvery one after the other, with
	// replacePause in between.
	replaceCount = 4
	replaceEvery = 1300 * time.Millisecond
	replacePause = 2 * time.Second
	// coldFor is how long a server is cold that starts during traffic.
	coldFor = 3 * time.Second
	// leaveAfter is how long a server goes on after it has reported that it leaves.
	leaveAfter = 6 * time.Second
	// controlSenders is how many consumers send requests one after the other to each
	// machine.
	controlSenders = 13
	// controlWork is how long a request runs.
	controlWork = 900 * time.Millisecond
)

// replacement replaces the servers of a service one after the other.
type replacement struct {
	setup *setup
	fleet *fleet
	late  windows // when second answers are sent

	mu      sync.Mutex
	all     []*instance     // that are up
	servers []*instance     // that do not leave
	counted map[uint64]bool // fences of the grants that broke the rule
	started int
	broken  int
}

// playControl replaces the servers of a service that is divided by key, one after the
// other. Some servers send a second answer late, also to grants and releases. The rule is
// OWNER: no server is given a key at which another is still at work.
func playControl(s *setup) (int, error) {
	f, err := newFleet(s.program, s.record, 3)
	if f != nil {
		defer f.stop()
	}
	if err != nil {
		return 0, err
	}
	f.store.Put("config", "main", manifest(orderRoute, "guidebook", true))
	r := &replacement{setup: s, fleet: f, counted: make(map[uint64]bool), late: windows{on: repeatFor, off: repeatPause}}
	for range controlServers {
		if err := r.add(); err != nil {
			return 0, err
		}
	}
	if err := f.startAll(); err != nil {
		return 0, err
	}
	r.late.start()
	o := &orders{statuses: make(map[string]int)}
	var all sync.WaitGroup
	end := time.Now().Add(controlFor)
	for i, m := range f.machines {
		for j := range controlSenders {
			all.Go(func() {
				for n := 0; time.Now().Before(end); n++ {
					o.send(s.record, m, fmt.Sprintf("o%d-%d-%03d", i+1, j+1, n+1))
				}
			})
		}
	}
	for n := 1; time.Now().Before(end.Add(-leaveAfter)); n++ {
		time.Sleep(replaceEvery)
		if n%replaceCount == 0 {
			time.Sleep(replacePause)
		}
		if err := r.replace(); err != nil {
			return 0, err
		}
	}
	all.Wait()
	return r.result(o)
}

// add starts one more server.
func (r *replacement) add() error {
	r.mu.Lock()
	r.started++
	n := r.started
	r.mu.Unlock()
	s := &instance{id: fmt.Sprintf("i-%d", n), service: "guidebook", zone: zoneName(n % 3), slots: 4, work: controlWork, record: r.setup.record, sharded: true}
	if r.setup.trouble && n%2 == 0 {
		s.repeatsControl = func() bool { return r.late.active() && rand.Float64() < repeatedShare }
		s.repeats = func(string) bool { return s.repeatsControl() }
	}
	s.onGrant = func(o order) { r.check(s, o) }
	if err := s.start(); err != nil {
		return err
	}
	r.mu.Lock()
	r.servers, r.all = append(r.servers, s), append(r.all, s)
	r.mu.Unlock()
	if n > controlServers {
		s.coldUntil = time.Now().Add(coldFor)
		time.AfterFunc(coldFor, func() { r.report(s) })
	}
	r.fleet.store.Put("servers", s.id, s.entry())
	return nil
}

// report writes the entry of a server that is warm now, unless it leaves.
func (r *replacement) report(s *instance) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if slices.Contains(r.servers, s) {
		r.fleet.store.Put("servers", s.id, s.entry())
	}
}

// replace starts a server, and lets the oldest one leave.
func (r *replacement) replace() error {
	if err := r.add(); err != nil {
		return err
	}
	r.mu.Lock()
	oldest := r.servers[0]
	r.servers = r.servers[1:]
	r.mu.Unlock()
	entry := oldest.entry()
	entry["state"] = "draining"
	r.fleet.store.Put("servers", oldest.id, entry)
	r.setup.record.printf("instance %s: draining", oldest.id)
	time.AfterFunc(leaveAfter, func() { r.remove(oldest) })
	return nil
}

// remove removes a server that has left.
func (r *replacement) remove(s *instance) {
	r.fleet.store.Remove("servers", s.id)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.all = slices.DeleteFunc(r.all, func(x *instance) bool { return x == s })
}

// check checks a grant that a server has taken. A renewal of a grant is not counted again.
func (r *replacement) check(to *instance, o order) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.all {
		if s == to {
			continue
		}
		if key, found := s.workingOn(o); found && !r.counted[o.Fence] {
			r.counted[o.Fence] = true
			r.broken++
			r.setup.record.printf("OWNER: instance %s was granted keys %d to %d with fence %d while %s is at work on key %d", to.id, o.From, o.To, o.Fence, s.id, key)
		}
	}
}

// result returns how often the rule was broken.
func (r *replacement) result(o *orders) (int, error) {
	answered := 0
	for _, status := range o.statuses {
		if status == 200 {
			answered++
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.setup.record.printf("%d requests, %d answered 200, %d servers, %d broken", len(o.statuses), answered, r.started, r.broken)
	if answered == 0 {
		return 0, errors.New("nothing was answered")
	}
	return r.broken, nil
}
