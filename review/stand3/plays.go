package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"pimentorelay.example/pimento"
	"pimentorelay.example/pimento/storefaker"
)

const (
	orders  = "partsdesk" // orders of parts, which may run once at most
	staging = "staging"   // in no manifest
)

// settle is how long the processes have to read what was written to the store.
const settle = 4 * time.Second

// playForeignEntry lets another writer put an entry among those of the instances, which
// lacks the fields version and born. By the pages it names no instance to use.
func playForeignEntry(ctx context.Context, f *fleet, trouble bool) (bool, error) {
	f.putManifest(map[string]string{orders: "non_idempotent"})
	for n := range 3 {
		if _, err := f.startInstance(fmt.Sprintf("i-%d", n+1), orders, "ub-bayangol", true); err != nil {
			return false, err
		}
	}
	other, err := f.startInstance("i-staging", staging, "ub-bayangol", false)
	if err != nil {
		return false, err
	}
	if err := f.startAll(ctx); err != nil {
		return false, err
	}
	time.Sleep(settle)
	if trouble {
		f.store.Put("servers", other.id, map[string]any{
			"service": orders, "address": other.address, "zone": "ub-bayangol", "max_concurrency": 4, "state": "ready", "warmup_left_s": 0, "seq": 1,
		})
		f.note("another writer puts the entry servers/%s, without version and born", other.id)
	}
	time.Sleep(settle)
	served, foreign := 0, 0
	for range 60 {
		for _, p := range f.processes {
			a := f.newConsumer(p).send(ctx, http.MethodPost, orders, "new", []byte("one crate"))
			if a.status == http.StatusOK {
				served++
			}
			if other.ran(a.id) > 0 {
				foreign++
			}
		}
		time.Sleep(30 * time.Millisecond)
	}
	f.note("%d of 180 orders served, %d run by the service %s", served, foreign, staging)
	if served < 90 {
		return false, fmt.Errorf("only %d of 180 orders were served", served)
	}
	return foreign > 0, nil
}

// consumersOfOne are the consumers of each process: together they keep all instances busy.
const consumersOfOne = 12

// greyFor is how long instances fail, as long as the site file says at most.
const greyFor = 6 * time.Second

// playOwnFailure lets one of eight instances fail a part of the orders that it has run, with
// a status of its own and without the header that says that nothing was run. Consumers
// repeat what was answered with a promise, as the pages say.
func playOwnFailure(ctx context.Context, f *fleet, trouble bool) (bool, error) {
	f.putManifest(map[string]string{orders: "non_idempotent"})
	var grey atomic.Bool
	for n := range 8 {
		i, err := f.startInstance(fmt.Sprintf("i-%d", n+1), orders, "ub-bayangol", true)
		if err != nil {
			return false, err
		}
		i.work = 60 * time.Millisecond
		if n == 0 { // a share of 0.14 of eight
			i.fail = func() int {
				if grey.Load() && rand.Float64() < 0.45 {
					return http.StatusServiceUnavailable
				}
				return 0
			}
		}
	}
	if err := f.startAll(ctx); err != nil {
		return false, err
	}
	time.Sleep(settle)
	grey.Store(trouble)
	until := time.Now().Add(greyFor)
	var served, promised, twice atomic.Int64
	var group sync.WaitGroup
	for _, p := range f.processes {
		for range consumersOfOne {
			group.Go(func() {
				c := f.newConsumer(p)
				for time.Now().Before(until) && ctx.Err() == nil {
					runs := 0
					for range 2 {
						a := c.send(ctx, http.MethodPost, orders, "new", []byte("one crate"))
						ran := f.timesRun(a.id)
						runs += ran
						if a.status == http.StatusOK {
							served.Add(1)
						}
						if !isPromise(a.status) {
							break
						}
						if ran > 0 {
							promised.Add(1)
							f.note("request %s was answered %d and has run", a.id, a.status)
						}
					}
					if runs > 1 {
						twice.Add(1)
					}
				}
			})
		}
	}
	group.Wait()
	f.note("%d orders served, %d attempts answered as not run that have run, %d orders carried out twice as their consumers repeated them", served.Load(), promised.Load(), twice.Load())
	if served.Load() < 100 {
		return false, fmt.Errorf("only %d orders were served", served.Load())
	}
	return promised.Load() > 0, nil
}

// isPromise reports whether a status promises that the request has not run and never will.
func isPromise(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

const (
	// formerDrain is drain_s before operators shorten it to that of the small deployments.
	formerDrain = 30 * time.Second
	drain       = 2 * time.Second
	// rounds is how many instances drain, one after the other.
	rounds = 6
)

// playShorterDrain shortens drain_s in the settings files. Then instances drain and leave. Consumers are silent at first, so that the answers of the
// instance do not tell earlier that it leaves.
func playShorterDrain(ctx context.Context, f *fleet, trouble bool) (bool, error) {
	if trouble {
		f.drain = formerDrain
	}
	f.putManifest(map[string]string{orders: "non_idempotent"})
	f.work = 290 * time.Millisecond // the mean of the site file
	for n := range 3 {
		if _, err := f.startInstance(fmt.Sprintf("i-%d", n+1), orders, "ub-bayangol", true); err != nil {
			return false, err
		}
	}
	if err := f.startAll(ctx); err != nil {
		return false, err
	}
	time.Sleep(settle)
	if err := f.setDrain(drain); err != nil {
		return false, err
	}
	time.Sleep(2 * settle)
	late, lost, served := 0, 0, 0
	for n := range rounds {
		if _, err := f.startInstance(fmt.Sprintf("i-%d", n+4), orders, "ub-bayangol", true); err != nil {
			return false, err
		}
		// At any moment between two readings of the instances.
		time.Sleep(2*time.Second + rand.N(formerDrain/5))
		i := f.instances[n]
		i.startDraining()
		time.Sleep(drain + 100*time.Millisecond)
		var group sync.WaitGroup
		var done, failed atomic.Int64
		for range 8 {
			for _, p := range f.processes {
				group.Go(func() {
					a := f.newConsumer(p).send(ctx, http.MethodPost, orders, "new", []byte("one crate"))
					if a.status == http.StatusOK {
						done.Add(1)
					} else if i.ran(a.id) > 0 {
						failed.Add(1)
					}
				})
			}
		}
		time.Sleep(250 * time.Millisecond) // a little longer than drain_s in all
		i.leave()
		group.Wait()
		i.mu.Lock()
		late += len(i.lateRuns)
		i.mu.Unlock()
		served += int(done.Load())
		lost += int(failed.Load())
	}
	f.note("%d orders served, %d reached an instance later than drain_s after it drained, %d of these were lost as it left", served, late, lost)
	if served < 100 {
		return false, fmt.Errorf("only %d orders were served", served)
	}
	return late > 0, nil
}

const (
	guides = "guidebook" // views of guides, divided by key
	// turnedAway is how long the store turns the machine of the leader away, as long as the
	// site file says.
	turnedAway = 7 * time.Second
	// keyStep is the distance of the keys that are asked for.
	keyStep = 2048
	// away is the moment for which the store is away before it comes back from a copy.
	away = 500 * time.Millisecond
)

// playCopy restores the store from a copy of some seconds ago, turns the machine that leads
// away from it, and adds a machine.
func playCopy(ctx context.Context, f *fleet, trouble bool) (bool, error) {
	f.keyed = true
	f.putManifest(map[string]string{guides: "idempotent"})
	for _, id := range []string{"i-2", "i-3", "i-4"} {
		if _, err := f.startInstance(id, guides, "ub-bayangol", true); err != nil {
			return false, err
		}
	}
	time.Sleep(settle)
	copied := time.Now()
	first, err := f.start("edge-ub-bayangol-1", "ub-bayangol")
	if err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	// One more instance is added, so that keys lie otherwise than a new leader would put them.
	if _, err := f.startInstance("i-1", guides, "ub-bayangol", true); err != nil {
		return false, err
	}
	time.Sleep(settle)
	f.note("%d keys are held", f.heldKeys())
	if f.heldKeys() < allKeys {
		return false, fmt.Errorf("only %d keys are held before the disturbance", f.heldKeys())
	}
	if trouble {
		first.store.silent.Store(true)
		f.note("the store is away, and turns %s away for %v", first.name, turnedAway)
		time.AfterFunc(turnedAway, func() { first.store.silent.Store(false) })
		time.Sleep(away)
		age := time.Since(copied) + 100*time.Millisecond
		f.store.Restore(storefaker.Copy{Age: pimento.Span(age)})
		f.note("the store is back from a copy that is %.1f s old", age.Seconds())
		for _, i := range f.instances {
			i.register()
		}
	}
	second, err := f.start("edge-ub-khanuul-1", "ub-khanuul")
	if err != nil {
		return false, err
	}
	d := &f.doubles
	served, stop := f.askForKeys(ctx)
	for end := time.Now().Add(12 * time.Second); time.Now().Before(end) && ctx.Err() == nil; {
		d.check(f)
		time.Sleep(20 * time.Millisecond)
	}
	stop()
	f.note("%d requests were served; %d keys are held at the end; at most %d keys have had two holders for over %v, the longest time is %v; two holders have begun requests on %d keys in that time",
		served.Load(), f.heldKeys(), d.most, mayOverlap, d.longest.Round(time.Millisecond), d.both)
	if !first.isReady() || !second.isReady() {
		return false, fmt.Errorf("a process is not ready at the end")
	}
	return d.both > 0 && d.most > 0, nil
}

// heldKeys returns how many keys some instance holds.
func (f *fleet) heldKeys() int {
	held := make([]bool, allKeys)
	n := 0
	for _, i := range f.instances {
		i.keys.mu.Lock()
		for key := range allKeys {
			if !held[key] && i.keys.holds(key, time.Now()) {
				held[key] = true
				n++
			}
		}
		i.keys.mu.Unlock()
	}
	return n
}

// askForKeys lets consumers ask all processes for many keys in turn until stop is called, and
// counts what is served.
func (f *fleet) askForKeys(ctx context.Context) (served *atomic.Int64, stop func()) {
	served = &atomic.Int64{}
	ctx, cancel := context.WithCancel(ctx)
	var group sync.WaitGroup
	for _, p := range f.processes {
		for n := range 2 {
			group.Go(func() {
				c := f.newConsumer(p)
				for key := n * keyStep / 2; ctx.Err() == nil; key = (key + keyStep) % allKeys {
					if a := c.send(ctx, http.MethodGet, guides, strconv.Itoa(key), nil); a.status == http.StatusOK {
						served.Add(1)
					}
					time.Sleep(10 * time.Millisecond)
				}
			})
		}
	}
	return served, func() {
		cancel()
		group.Wait()
	}
}
