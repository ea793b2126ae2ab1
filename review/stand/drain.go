package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"
)

const (
	// readers is how many consumers read from the machine that is stopped.
	readers = 8
	// guideBytes is the length of an answer, lineRate how many bytes a second of it the
	// line of a consumer takes.
	guideBytes = 8 << 20
	lineRate   = 6 << 20
	// linePiece is read at once.
	linePiece = 32 << 10
	// readerSpacing is the time between the starts of two consumers.
	readerSpacing = 170 * time.Millisecond
	// readTimeLimit is the consumers' time limit.
	readTimeLimit = 10 * time.Second
	// routeTimeout is the timeout_s of the route. Requests that have used most of it are
	// not counted.
	routeTimeout = 9 * time.Second
	lateShare    = 0.7
	// readsBefore is how many answers a consumer has got when the machine is stopped.
	readsBefore = 4 * time.Second
	// sendAfter is how long consumers send requests after the SIGTERM.
	sendAfter = 3 * time.Second
	// drainWatch is how long consumers go on after the SIGTERM, at most.
	drainWatch = 7 * time.Second
)

// guideRoute is a route for idempotent requests.
var guideRoute = []any{"r-guide", "guide.example", "/guide/", "idempotent", routeTimeout.Seconds(), 0.6, 2, nil, 2, "guidebook"}

// read is one request of a consumer.
type read struct {
	attempt  string
	sentAt   time.Time
	answered bool // in full, whatever the status
	status   int
	failedAt time.Time // when its connection ended before its answer had; zero: it did not
	gaveUp   bool      // the consumer ended the connection itself
}

// reader is a consumer that sends each request before the one before it has been
// answered, on a line of some Mbit/s.
type reader struct {
	name   string
	rate   int // bytes a second of its line
	buffer int // of its connection in bytes; zero: as it is
	conn   net.Conn
	in     *bufio.Reader

	mu    sync.Mutex
	sent  []*read
	isEnd bool // an answer has said that it is the last
}

// playDrain sends SIGTERM to a machine while consumers read long answers from it. The
// rule is LOST: around a SIGTERM, no request that was passed on to a server may end
// without an answer.
func playDrain(s *setup) (int, error) {
	f, servers, err := startGuide(s, guideBytes)
	if f != nil {
		defer f.stop()
	}
	if err != nil {
		return 0, err
	}
	m := f.machines[0]
	var all sync.WaitGroup
	stopAt := time.Now().Add(readsBefore)
	list := make([]*reader, readers)
	for i := range list {
		list[i] = &reader{name: fmt.Sprintf("c%d", i+1), rate: lineRate, buffer: 2 * linePiece}
		all.Go(func() {
			time.Sleep(time.Duration(i) * readerSpacing)
			list[i].run(s.record, m, stopAt)
		})
	}
	time.Sleep(time.Until(stopAt))
	if s.trouble {
		s.record.printf("machine %s: SIGTERM", m.name)
		if err := m.signal(syscall.SIGTERM); err != nil {
			return 0, err
		}
	}
	all.Wait()
	return checkLost(s.record, servers, list)
}

// startGuide starts a deployment with a service whose answers have a length.
func startGuide(s *setup, answerBytes int) (*fleet, []*instance, error) {
	f, err := newFleet(s.program, s.record, 3)
	if err != nil {
		return f, nil, err
	}
	f.store.Put("config", "main", manifest(guideRoute, "guidebook", false))
	var servers []*instance
	for i := range 8 {
		server := &instance{id: fmt.Sprintf("i-%d", i+1), service: "guidebook", zone: zoneName(i % 3), slots: 4, work: 50 * time.Millisecond, record: s.record, answerBytes: answerBytes}
		if err := server.start(); err != nil {
			return f, nil, err
		}
		f.store.Put("servers", server.id, server.entry())
		servers = append(servers, server)
	}
	if err := f.startAll(); err != nil {
		return f, nil, err
	}
	return f, servers, nil
}

// dial connects to a machine.
func (r *reader) dial(m *machine) error {
	c, err := net.DialTimeout("tcp", m.front, time.Second)
	if err != nil {
		return err
	}
	if tcp, ok := c.(*net.TCPConn); ok && r.buffer > 0 {
		// The buffers of loopback would hold whole answers.
		if err := tcp.SetReadBuffer(r.buffer); err != nil {
			return err
		}
	}
	r.conn, r.in = c, bufio.NewReaderSize(c, linePiece)
	return nil
}

// request returns the i-th request that was sent, nil if there is none.
func (r *reader) request(i int) *read {
	r.mu.Lock()
	defer r.mu.Unlock()
	if i >= len(r.sent) {
		return nil
	}
	return r.sent[i]
}

// run sends requests, always one ahead, until an answer says that it is the last or the
// time is over. Requests that are then unanswered would go to another machine.
func (r *reader) run(rec *record, m *machine, stopAt time.Time) {
	if err := r.dial(m); err != nil {
		rec.printf("consumer %s: %v", r.name, err)
		return
	}
	defer r.conn.Close()
	next := 0
	r.send(rec)
	for time.Now().Before(stopAt.Add(drainWatch)) && !r.isEnd {
		if time.Now().Before(stopAt.Add(sendAfter)) {
			r.send(rec)
		}
		q := r.request(next)
		if q == nil {
			return
		}
		if err := r.receive(q); err != nil {
			rec.printf("consumer %s: attempt %s: no whole answer: %v", r.name, q.attempt, err)
			r.end(err)
			return
		}
		rec.printf("consumer %s: attempt %s: answered in full with %d, last %v", r.name, q.attempt, q.status, r.isEnd)
		next++
	}
	r.awaitEnd(rec)
}

// awaitEnd waits until the machine closes the connection.
func (r *reader) awaitEnd(rec *record) {
	if err := r.conn.SetReadDeadline(time.Now().Add(drainWatch)); err != nil {
		rec.printf("consumer %s: %v", r.name, err)
		return
	}
	n, err := io.Copy(io.Discard, r.in)
	rec.printf("consumer %s: after the last answer %d more bytes, then %v", r.name, n, err)
	r.end(err)
}

// end notes that the connection has ended with an error, nil if the machine closed it, for
// all requests without an answer.
func (r *reader) end(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, q := range r.sent {
		if q.answered || !q.failedAt.IsZero() {
			continue
		}
		q.failedAt = time.Now()
		q.gaveUp = errors.Is(err, os.ErrDeadlineExceeded)
	}
}

// send sends one request whole.
func (r *reader) send(rec *record) {
	q := &read{attempt: fmt.Sprintf("%s-%02d", r.name, len(r.sent)+1), sentAt: time.Now()}
	_, err := fmt.Fprintf(r.conn, "GET /guide/%s HTTP/1.1\r\nHost: guide.example\r\n%s: %s\r\n%s: %d\r\n\r\n",
		q.attempt, headerAttempt, q.attempt, headerDeadline, readTimeLimit.Milliseconds())
	rec.printf("consumer %s: attempt %s: sent, error %v", r.name, q.attempt, err)
	if err == nil {
		r.mu.Lock()
		r.sent = append(r.sent, q)
		r.mu.Unlock()
	}
}

// receive reads the answer to a request at the rate of the line.
func (r *reader) receive(q *read) error {
	err := r.receiveAnswer(q)
	if err != nil {
		q.failedAt = time.Now()
	}
	return err
}

func (r *reader) receiveAnswer(q *read) error {
	if err := r.conn.SetReadDeadline(q.sentAt.Add(readTimeLimit)); err != nil {
		return err
	}
	res, err := http.ReadResponse(r.in, nil)
	if err != nil {
		return err
	}
	r.isEnd = res.Close
	for {
		began := time.Now()
		n, err := io.CopyN(io.Discard, res.Body, linePiece)
		if err == io.EOF {
			break
		}
		if err != nil {
			return err
		}
		time.Sleep(time.Until(began.Add(time.Duration(n) * time.Second / time.Duration(r.rate))))
	}
	q.answered, q.status = true, res.StatusCode
	return nil
}

// checkLost returns how many requests reached a server and got no answer, although their
// time limit had not come.
func checkLost(rec *record, servers []*instance, list []*reader) (int, error) {
	ran := make(map[string]string)
	for _, s := range servers {
		for _, x := range s.allRuns() {
			ran[x.attempt] = x.instance
		}
	}
	sent, answered, lost := 0, 0, 0
	for _, r := range list {
		for _, q := range r.sent {
			sent++
			if q.answered {
				answered++
				continue
			}
			if q.gaveUp || q.failedAt.IsZero() {
				rec.printf("attempt %s does not count: the consumer ended the connection", q.attempt)
				continue
			}
			if q.failedAt.Sub(q.sentAt) > time.Duration(lateShare*float64(routeTimeout)) {
				rec.printf("attempt %s does not count: its time limit has come", q.attempt)
				continue
			}
			if server, ok := ran[q.attempt]; ok {
				lost++
				rec.printf("LOST: attempt %s was passed on to %s, and its connection ended without an answer", q.attempt, server)
			}
		}
	}
	rec.printf("%d requests sent, %d answered, %d passed on and lost", sent, answered, lost)
	if len(ran) == 0 {
		return 0, errors.New("nothing ran")
	}
	return lost, nil
}
