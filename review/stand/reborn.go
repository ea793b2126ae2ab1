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
	// rebornFor is how long consumers send requests, and servers crash.
	rebornFor = 84 * time.Second
	// rebornServers is how many servers there are.
	rebornServers = 8
	// rebornEvery is the time from one crash to the next.
	rebornEvery = 7 * time.Second
	// downFor is how long a server is down after a crash.
	downFor = 700 * time.Millisecond
	// checkInAfter is the time from the start of a server to its first check-in.
	checkInAfter = 400 * time.Millisecond
	// coldFor is how long a server is cold that starts during traffic.
	coldFor = 3 * time.Second
	// cutAfter is the time from a crash to the cut, to which a random time up to
	// cutSpread is added. cutFor is how long the cut lasts.
	cutAfter  = 1250 * time.Millisecond
	cutSpread = 250 * time.Millisecond
	cutFor    = 3 * time.Second
	// sharedFor is how long two servers may hold the same key.
	sharedFor = 500 * time.Millisecond
	// healTime is the time after the end of a cut in which grants do not count.
	healTime = 300 * time.Millisecond
)

// reborns are the servers of a service of which one after the other crashes, starts again
// under its id, and is then cut off from the machines.
type reborns struct {
	setup *setup
	fleet *fleet

	mu      sync.Mutex
	servers []*instance     // nil: down
	healed  time.Time       // end of the last cut
	counted map[uint64]bool // fences of the grants that broke the rule
	broken  int
}

// playReborn lets servers of a service that is divided by key crash and start again under
// their id, and cuts them off from the machines a little later. The rule is OWNER: no two
// servers that are up hold the same key for over half a second.
func playReborn(s *setup) (int, error) {
	f, err := newFleet(s.program, s.record, 3)
	if f != nil {
		defer f.stop()
	}
	if err != nil {
		return 0, err
	}
	f.store.Put("config", "main", manifest(orderRoute, "guidebook", true))
	r := &reborns{setup: s, fleet: f, counted: make(map[uint64]bool)}
	for i := range rebornServers {
		server := r.newServer(fmt.Sprintf("i-%d", i+1), zoneName(i%3))
		if err := server.start(); err != nil {
			return 0, err
		}
		f.store.Put("servers", server.id, server.entry())
		r.servers = append(r.servers, server)
	}
	if err := f.startAll(); err != nil {
		return 0, err
	}
	o := &orders{statuses: make(map[string]int)}
	var all sync.WaitGroup
	end := time.Now().Add(rebornFor)
	for i, m := range f.machines {
		for j := range senders {
			all.Go(func() {
				for n := 0; time.Now().Before(end); n++ {
					o.send(s.record, m, fmt.Sprintf("o%d-%d-%03d", i+1, j+1, n+1))
				}
			})
		}
	}
	for n := 0; s.trouble && time.Now().Before(end.Add(-rebornEvery)); n++ {
		began := time.Now()
		if err := r.crash(n % rebornServers); err != nil {
			return 0, err
		}
		time.Sleep(time.Until(began.Add(rebornEvery)))
	}
	all.Wait()
	return r.result(o)
}

func (r *reborns) newServer(id, zone string) *instance {
	s := &instance{id: id, service: "guidebook", zone: zone, slots: 4, work: 60 * time.Millisecond, record: r.setup.record, sharded: true}
	s.onGrant = func(o order) { r.check(s, o) }
	return s
}

// crash lets a server crash and start again under its id, and cuts it off for a while.
func (r *reborns) crash(i int) error {
	began := time.Now()
	r.mu.Lock()
	old := r.servers[i]
	r.servers[i] = nil
	r.mu.Unlock()
	r.setup.record.printf("instance %s: crashes", old.id)
	old.disconnect()
	time.Sleep(downFor)
	next := r.newServer(old.id, old.zone)
	next.coldUntil = time.Now().Add(coldFor)
	if err := next.startAt(old.address); err != nil {
		return err
	}
	r.mu.Lock()
	r.servers[i] = next
	r.mu.Unlock()
	r.setup.record.printf("instance %s: has started again", next.id)
	time.AfterFunc(checkInAfter, func() {
		r.fleet.store.Put("servers", next.id, next.entry())
		r.setup.record.printf("instance %s: has checked in", next.id)
	})
	time.Sleep(time.Until(began.Add(cutAfter + rand.N(cutSpread))))
	r.setup.record.printf("instance %s: is cut off from the machines", next.id)
	next.disconnect()
	time.Sleep(cutFor)
	r.setup.record.printf("instance %s: is reachable again", next.id)
	if err := next.reconnect(); err != nil {
		return err
	}
	r.mu.Lock()
	r.healed = time.Now()
	r.mu.Unlock()
	r.fleet.store.Put("servers", next.id, next.entry())
	return nil
}

// check checks a grant that a server has taken: if another one holds a key of it, and both
// still do when sharedFor is over, the rule is broken. A renewal is not counted again.
func (r *reborns) check(to *instance, o order) {
	r.mu.Lock()
	defer r.mu.Unlock()
	at := time.Now()
	countedFrom := r.healed.Add(healTime)
	if at.Before(countedFrom) {
		return
	}
	for _, s := range r.servers {
		if s == nil || s == to {
			continue
		}
		key, fence, found := s.holdsSome(o, countedFrom)
		if !found {
			continue
		}
		r.setup.record.printf("instance %s was granted keys %d to %d with fence %d while %s holds key %d with fence %d", to.id, o.From, o.To, o.Fence, s.id, key, fence)
		time.AfterFunc(sharedFor+10*time.Millisecond, func() { r.checkAgain(at, to, s, o, key, fence) })
	}
}

// checkAgain counts a key that two servers have held since a time, by the same grants.
func (r *reborns) checkAgain(since time.Time, to, s *instance, o order, key int, fence uint64) {
	if !r.isUp(to) || !r.isUp(s) || !to.holds(key, o.Fence) || !s.holds(key, fence) {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.counted[o.Fence] {
		return
	}
	r.counted[o.Fence] = true
	r.broken++
	r.setup.record.printf("OWNER: for %d ms %s (fence %d) and %s (fence %d) have held key %d", time.Since(since).Milliseconds(), to.id, o.Fence, s.id, fence, key)
}

func (r *reborns) isUp(x *instance) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Contains(r.servers, x)
}

// result returns how often the rule was broken.
func (r *reborns) result(o *orders) (int, error) {
	answered := 0
	for _, status := range o.statuses {
		if status == 200 {
			answered++
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.setup.record.printf("%d requests, %d answered 200, %d broken", len(o.statuses), answered, r.broken)
	if answered == 0 {
		return 0, errors.New("nothing was answered")
	}
	return r.broken, nil
}
