package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// The headers of the platform's pages.
const (
	headerID        = "Pimentorelay-Attempt-Id"
	headerDeadline  = "Pimentorelay-Deadline-Ms"
	headerTarget    = "Pimentorelay-Target-Instance"
	headerSignature = "Pimentorelay-Response-Signature"
	headerNotRun    = "Pimentorelay-Not-Executed"
	headerInstance  = "Pimentorelay-Instance-Id"
	headerKey       = "Pimentorelay-Shard-Key"
	headerLoad      = "Pimentorelay-Server-Load"
)

// slots is max_concurrency of the instances.
const slots = 4

// queueLength is how many more requests an instance queues.
const queueLength = 16

// behaviour is how an instance serves requests.
type behaviour struct {
	work        time.Duration // on one request
	answerBytes int
	sendFor     time.Duration // the answer is sent in parts over this time
	readRate    int           // bytes of a body a second; zero: as they come
	rcvbuf      int           // receive buffer in bytes; zero: that of the system
	early       bool          // long requests are answered before their body is in
	keyed       bool          // the service is divided by key
	zones       int           // over which the instances are spread, the first of them on
}

// arrival is what became of one request at the instances.
type arrival struct {
	instance string
	ran      bool // it was worked on to its end, or is still
	cut      bool // its connection ended before
	// bodyBytes is how much of its body was read.
	bodyBytes int64
}

// arrivals are the requests that instances got, by attempt ID.
type arrivals struct {
	mu   sync.Mutex
	byID map[string]*arrival
}

func (a *arrivals) get(id string) (arrival, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	x, ok := a.byID[id]
	if !ok {
		return arrival{}, false
	}
	return *x, true
}

func (a *arrivals) change(id string, do func(*arrival)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	x, ok := a.byID[id]
	if !ok {
		x = &arrival{}
		a.byID[id] = x
	}
	do(x)
}

// instance is a stand-in for one server of a service without keys.
type instance struct {
	play      *play
	id        string
	service   string
	address   string
	behaviour behaviour
	arrivals  *arrivals
	slots     chan struct{}
	keys      *keyTable // nil: the service is not divided by key

	mu      sync.Mutex
	held    int // requests that run or wait
	running int
}

// startInstances starts n instances of a service, which register themselves.
func (p *play) startInstances(ctx context.Context, first, n int, service string, b behaviour, a *arrivals) error {
	for i := range n {
		x := &instance{
			play: p, id: fmt.Sprintf("i-%s-%02d", service, i), service: service, behaviour: b, arrivals: a,
			address: fmt.Sprintf("%s:%d", p.address(firstInstance+first+i), instancePort), slots: make(chan struct{}, slots),
		}
		if b.keyed {
			x.keys = &keyTable{}
		}
		if err := p.serve(x.address, b.rcvbuf, x); err != nil {
			return err
		}
		go x.checkIn(ctx, i)
	}
	return nil
}

// checkIn writes the entry of the instance to the store, again and again.
func (x *instance) checkIn(ctx context.Context, number int) {
	born := time.Now().Add(-time.Minute).UnixMilli()
	for seq := 1; ctx.Err() == nil; seq++ {
		x.play.store.Put("servers", x.id, map[string]any{
			"service": x.service, "address": x.address, "zone": fmt.Sprintf("ub-%d", 1+number%x.behaviour.zones), "version": "v1",
			"max_concurrency": slots, "state": "ready", "warmup_left_s": 0.0, "seq": seq, "born": born,
		})
		if pause(ctx, 870*time.Millisecond) != nil {
			return
		}
	}
}

// ServeHTTP implements http.Handler.
func (x *instance) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	h.Set(headerLoad, x.load())
	if x.keys != nil && x.serveKeys(w, r) {
		return
	}
	if r.URL.Path == "/healthz" {
		h.Set(headerInstance, x.id)
		return
	}
	id := r.Header.Get(headerID)
	h.Set(headerID, id)
	if target := r.Header.Get(headerTarget); target != "" && target != x.id {
		h.Set(headerNotRun, "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	key, err := strconv.Atoi(r.Header.Get(headerKey))
	if x.keys != nil && (err != nil || !x.keys.begin(key)) {
		h.Set(headerNotRun, "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if x.keys != nil {
		defer x.keys.end(key)
	}
	if !x.admit() {
		h.Set(headerNotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer x.leave()
	ctx, cancel := context.WithTimeout(r.Context(), remaining(r))
	defer cancel()
	x.arrivals.change(id, func(a *arrival) { a.instance, a.ran = x.id, true })
	x.play.log.add("%s begins %s %s %s", x.id, r.Method, r.URL.Path, id)
	if err := x.work(ctx, w, r); err != nil {
		x.arrivals.change(id, func(a *arrival) { a.ran, a.cut = false, true })
		x.play.log.add("%s cannot finish %s: %v", x.id, id, err)
		panic(http.ErrAbortHandler)
	}
	x.play.log.add("%s has finished %s", x.id, id)
}

// remaining returns how long the consumer of a request still waits.
func remaining(r *http.Request) time.Duration {
	ms, err := strconv.Atoi(r.Header.Get(headerDeadline))
	if err != nil {
		return time.Minute
	}
	return time.Duration(ms) * time.Millisecond
}

func (x *instance) load() string {
	x.mu.Lock()
	defer x.mu.Unlock()
	return fmt.Sprintf("%d,%d,%d", x.running, x.held-x.running, slots)
}

// admit takes a place in the queue, and reports whether there was one.
func (x *instance) admit() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.held >= slots+queueLength {
		return false
	}
	x.held++
	return true
}

func (x *instance) leave() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.held--
}

func (x *instance) addRunning(n int) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.running += n
}

// work waits for a slot, reads the body, works and answers.
func (x *instance) work(ctx context.Context, w http.ResponseWriter, r *http.Request) error {
	select {
	case x.slots <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	x.addRunning(1)
	defer func() {
		x.addRunning(-1)
		<-x.slots
	}()
	if x.behaviour.early {
		return x.answerEarly(ctx, w, r)
	}
	n, err := x.readBody(ctx, r.Body)
	x.arrivals.change(r.Header.Get(headerID), func(a *arrival) { a.bodyBytes = n })
	if err != nil {
		return err
	}
	if err := pause(ctx, x.behaviour.work); err != nil {
		return err
	}
	return x.answer(ctx, w)
}

// readBody reads a body at the instance's rate.
func (x *instance) readBody(ctx context.Context, body io.Reader) (int64, error) {
	if x.behaviour.readRate == 0 {
		return io.Copy(io.Discard, body)
	}
	var sum int64
	for {
		n, err := io.CopyN(io.Discard, body, int64(x.behaviour.readRate)/10)
		sum += n
		if err == io.EOF {
			return sum, nil
		}
		if err != nil {
			return sum, err
		}
		if err := pause(ctx, 100*time.Millisecond); err != nil {
			return sum, err
		}
	}
}

// answer writes the answer, in parts if it is to take time.
func (x *instance) answer(ctx context.Context, w http.ResponseWriter) error {
	const parts = 20
	h := w.Header()
	h.Set(headerLoad, x.load())
	h.Set(headerSignature, "3e1b.07."+x.id)
	h.Set("Content-Length", strconv.Itoa(x.behaviour.answerBytes))
	part := make([]byte, (x.behaviour.answerBytes+parts-1)/parts)
	for sent := 0; sent < x.behaviour.answerBytes; {
		n := min(len(part), x.behaviour.answerBytes-sent)
		if _, err := w.Write(part[:n]); err != nil {
			return err
		}
		sent += n
		if x.behaviour.sendFor == 0 {
			continue
		}
		if err := http.NewResponseController(w).Flush(); err != nil {
			return err
		}
		if err := pause(ctx, x.behaviour.sendFor/parts); err != nil {
			return err
		}
	}
	return nil
}
