package main

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"pimentorelay.example/pimento"
	"pimentorelay.example/pimento/upstreamfaker"
)

const (
	callers      = 8
	callerPause  = 5 * time.Millisecond
	orderEvery   = 10 // requests
	sendTimeout  = 15 * time.Second
	answerMax    = 1 << 20 // bytes
	relayTimeout = "12s"
)

var client = &http.Client{Timeout: sendTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 2 * callers}}

// send sends a request and checks that the answer is its own and whole.
func send(method, url, key, id string, body []byte) (upstreamfaker.Answer, error) {
	var answer upstreamfaker.Answer
	req, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		return answer, err
	}
	req.Header.Set(pimento.HeaderTimeout, relayTimeout)
	if key != "" {
		req.Header.Set(pimento.HeaderKey, key)
	}
	if id != "" {
		req.Header.Set(pimento.HeaderIdempotencyKey, id)
	}
	res, err := client.Do(req)
	if err != nil {
		return answer, err
	}
	defer res.Body.Close()
	text, err := io.ReadAll(io.LimitReader(res.Body, answerMax))
	if err != nil {
		return answer, err
	}
	if res.StatusCode != http.StatusOK {
		return answer, &refusedError{outcome: pimento.Outcome(res.Header.Get(pimento.HeaderOutcome)), text: string(bytes.TrimSpace(text))}
	}
	if err := json.Unmarshal(text, &answer); err != nil {
		return answer, err
	}
	sum := sha256.Sum256(body)
	if answer.ID != res.Header.Get(pimento.HeaderRequestID) || answer.Digest != hex.EncodeToString(sum[:]) {
		return answer, fmt.Errorf("%s %s: the answer is not of this request", method, url)
	}
	if key != "" && answer.KeyHash != pimento.HashKey(key) {
		return answer, fmt.Errorf("%s %s: the answer is of another key", method, url)
	}
	return answer, nil
}

// refusedError is an outcome other than Answered.
type refusedError struct {
	outcome pimento.Outcome
	text    string
}

func (e *refusedError) Error() string { return e.text }

// traffic is a stream of requests that goes on during the steps.
type traffic struct {
	urls []string

	mu       sync.Mutex
	stopped  bool
	sent     int
	outcomes map[pimento.Outcome]int
	slowest  time.Duration
	wrong    error
	running  sync.WaitGroup
}

func (t *traffic) start() {
	t.outcomes = make(map[pimento.Outcome]int)
	for i := range callers {
		t.running.Go(func() { t.call(i) })
	}
}

// call sends one request after the other, every tenth an order.
func (t *traffic) call(caller int) {
	for n := 0; !t.isStopped(); n++ {
		url := t.urls[n%len(t.urls)]
		started := time.Now()
		var err error
		if n%orderEvery == 0 {
			_, err = send("POST", url+"/orders/new", "", fmt.Sprintf("order-%d-%d", caller, n), []byte("track pieces"))
		} else {
			_, err = send("GET", url+"/guides/next", fmt.Sprintf("soum-%d-%d", caller, n%97), "", nil)
		}
		t.note(err, time.Since(started))
		time.Sleep(callerPause)
	}
}

func (t *traffic) note(err error, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sent++
	t.slowest = max(t.slowest, took)
	refused, ok := err.(*refusedError)
	switch {
	case err == nil:
		t.outcomes[pimento.OutcomeAnswered]++
	case ok:
		t.outcomes[refused.outcome]++
	default:
		t.wrong = err
	}
}

func (t *traffic) isStopped() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.stopped
}

func (t *traffic) stop() {
	t.mu.Lock()
	t.stopped = true
	t.mu.Unlock()
	t.running.Wait()
}

// err returns what was wrong. A truthful refusal is not wrong, but one of a
// request that could be answered is.
func (t *traffic) err() error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.wrong != nil {
		return t.wrong
	}
	if n := t.outcomes[pimento.OutcomeNotRun]; n > 0 {
		return fmt.Errorf("%d requests were refused that could be answered", n)
	}
	return nil
}

// String sums up the traffic so far.
func (t *traffic) String() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return fmt.Sprintf("%d requests: %d answered, %d not run, %d unknown; slowest %s", t.sent,
		t.outcomes[pimento.OutcomeAnswered], t.outcomes[pimento.OutcomeNotRun], t.outcomes[pimento.OutcomeUnknown],
		t.slowest.Round(time.Millisecond))
}
