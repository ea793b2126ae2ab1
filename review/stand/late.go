package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// senders is how many consumers send requests one after the other to each machine.
	senders = 10
	// sendFor is how long they do.
	sendFor = 60 * time.Second
	// lateFor is how long servers shed and repeat at a time, latePause the time between.
	lateFor   = 5 * time.Second
	latePause = 5 * time.Second
	// orderTimeLimit is their time limit.
	orderTimeLimit = 5 * time.Second
	// shedShare is the share of the requests that a server sheds.
	shedShare = 0.45
	// repeatedShare is the share of the answers of a faulty server of which a second one
	// follows late.
	repeatedShare = 0.03
)

// orderRoute is a route for requests that may run once.
var orderRoute = []any{"r-order", "order.example", "/order/", "non_idempotent", 4.5, 0.8, 1, nil, 2, "guidebook"}

// orders holds how requests ended, as the consumers saw it.
type orders struct {
	mu       sync.Mutex
	statuses map[string]int // by attempt; zero: none
}

// playLate sends requests that may run once to a service that is divided by key. Its
// servers shed a part of the requests, and some of them send a second answer late. The
// rule is REFUSED.
func playLate(s *setup) (int, error) {
	f, err := newFleet(s.program, s.record, 3)
	if f != nil {
		defer f.stop()
	}
	if err != nil {
		return 0, err
	}
	f.store.Put("config", "main", manifest(orderRoute, "guidebook", true))
	var servers []*instance
	w := &windows{on: lateFor, off: latePause}
	for i := range 6 {
		server := &instance{id: fmt.Sprintf("i-%d", i+1), service: "guidebook", zone: zoneName(i % 3), slots: 4, work: 60 * time.Millisecond, record: s.record, sharded: true}
		if s.trouble {
			server.reject = sheds(w, server.id)
		}
		if s.trouble && i < 3 {
			server.repeats = func(attempt string) bool { return w.active() && chosen("repeat "+server.id+attempt, repeatedShare) }
		}
		if err := server.start(); err != nil {
			return 0, err
		}
		f.store.Put("servers", server.id, server.entry())
		servers = append(servers, server)
	}
	if err := f.startAll(); err != nil {
		return 0, err
	}
	w.start()
	o := &orders{statuses: make(map[string]int)}
	var all sync.WaitGroup
	end := time.Now().Add(sendFor)
	for i, m := range f.machines {
		for j := range senders {
			all.Go(func() {
				for n := 0; time.Now().Before(end); n++ {
					o.send(s.record, m, fmt.Sprintf("o%d-%d-%03d", i+1, j+1, n+1))
				}
			})
		}
	}
	all.Wait()
	time.Sleep(time.Second)
	return checkOrders(s.record, servers, o)
}

// sheds chooses the requests that a server sheds while windows are active.
func sheds(w *windows, server string) func(string) bool {
	var seen atomic.Int64
	return func(attempt string) bool {
		return w.active() && chosen(fmt.Sprint("shed ", server, attempt, seen.Add(1)), shedShare)
	}
}

// send sends one request on a connection of its own.
func (o *orders) send(rec *record, m *machine, attempt string) {
	key := rand.IntN(keyCount)
	rec.printf("consumer: attempt %s: sent to %s with key %d", attempt, m.name, key)
	status, err := sendOrder(m.front, attempt, key)
	rec.printf("consumer: attempt %s: status %d, error %v", attempt, status, err)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.statuses[attempt] = status
}

func sendOrder(address, attempt string, key int) (int, error) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return 0, err
	}
	defer c.Close()
	if err := c.SetDeadline(time.Now().Add(orderTimeLimit)); err != nil {
		return 0, err
	}
	_, err = fmt.Fprintf(c, "POST /order/%s HTTP/1.1\r\nHost: order.example\r\n%s: %s\r\n%s: %d\r\n%s: %d\r\nContent-Length: 9\r\n\r\none crate",
		attempt, headerAttempt, attempt, headerDeadline, orderTimeLimit.Milliseconds(), headerKey, key)
	if err != nil {
		return 0, err
	}
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, err
	}
	_, err = io.Copy(io.Discard, res.Body)
	return res.StatusCode, err
}

// checkOrders returns how many requests were refused although they ran.
func checkOrders(rec *record, servers []*instance, o *orders) (int, error) {
	ran := make(map[string][]string)
	for _, s := range servers {
		for _, x := range s.allRuns() {
			ran[x.attempt] = append(ran[x.attempt], x.instance)
		}
	}
	broken, answered := 0, 0
	counts := make(map[int]int)
	for attempt, status := range o.statuses {
		counts[status]++
		if status == http.StatusOK {
			answered++
		}
		runs := ran[attempt]
		isPromise := status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable || status == http.StatusRequestTimeout || status == http.StatusMisdirectedRequest
		if isPromise && len(runs) > 0 {
			broken++
			rec.printf("REFUSED: attempt %s was answered %d and ran at %v", attempt, status, runs)
		}
	}
	rec.printf("%d requests by status: %v; %d broken", len(o.statuses), counts, broken)
	if answered == 0 {
		return 0, errors.New("nothing was answered")
	}
	return broken, nil
}
