// Package sender sends requests as callers do and checks every answer: that it
// is whole, of its own request and of its own key. The demo and the tests use
// it; what the stand-ins understand is package upstreamfaker's.
//
// # Usage
//
//	answer, err := sender.Send(ctx, sender.Request{Method: "GET", URL: url, Key: "soum-17"})
//	stream := &sender.Stream{URLs: urls, Callers: 8}
//	stream.Start()
//	stream.Stop()
//	fmt.Println(stream.Summary())
package sender

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"pimentorelay.example/pimento"
	"pimentorelay.example/pimento/upstreamfaker"
)

const (
	// defaultTimeout is how long a caller waits that does not say.
	defaultTimeout = 15 * time.Second
	// grace is how much longer than the request's deadline a caller waits.
	grace = 3 * time.Second
	// maxAnswer bounds what is read of an answer, in bytes.
	maxAnswer = 1 << 20
	// callerPause is the time between two requests of one caller.
	callerPause = 5 * time.Millisecond
	// orderEvery is how often a stream's request is an order.
	orderEvery = 5
)

// Request is one request of a caller.
type Request struct {
	Method  string
	URL     string
	Key     string
	ID      string // Idempotency-Key
	Body    []byte
	Timeout time.Duration // zero: the default
}

// RefusedError is an outcome other than Answered, as the caller was told.
type RefusedError struct {
	Status     int
	Outcome    pimento.Outcome
	Reason     pimento.Reason
	RetryAfter time.Duration // zero: not told
	Text       string
}

// Error returns the text of the refusal.
func (e *RefusedError) Error() string { return fmt.Sprintf("status %d: %s", e.Status, e.Text) }

// CutError says that an answer broke off, which its caller can see.
type CutError struct{ Cause error }

// Error names the cause.
func (e *CutError) Error() string { return "no whole answer: " + e.Cause.Error() }

// WrongError says that an answer was taken as whole but is not the right one.
type WrongError struct{ Detail string }

// Error says what is wrong.
func (e *WrongError) Error() string { return "wrong answer: " + e.Detail }

var client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}

// Send sends a request and returns the stand-in's answer. A request that was
// refused as not run is sent again when its caller is told to come back, as
// long as there is time. The error is a *RefusedError, *CutError or *WrongError.
func Send(ctx context.Context, r Request) (upstreamfaker.Answer, error) {
	if r.Timeout == 0 {
		r.Timeout = defaultTimeout
	}
	end := time.Now().Add(r.Timeout)
	for {
		answer, err := sendOnce(ctx, r)
		var refused *RefusedError
		if !errors.As(err, &refused) || refused.Outcome != pimento.OutcomeNotRun || refused.RetryAfter == 0 {
			return answer, err
		}
		if r.Timeout = time.Until(end) - refused.RetryAfter; r.Timeout <= 0 {
			return answer, err
		}
		time.Sleep(refused.RetryAfter)
	}
}

// sendOnce sends a request once.
func sendOnce(ctx context.Context, r Request) (upstreamfaker.Answer, error) {
	var answer upstreamfaker.Answer
	ctx, cancel := context.WithTimeout(ctx, r.Timeout+grace)
	defer cancel()
	res, text, err := exchange(ctx, r)
	if err != nil {
		return answer, &CutError{Cause: err}
	}
	if res.StatusCode != http.StatusOK {
		return answer, &RefusedError{
			Status: res.StatusCode, Outcome: pimento.Outcome(res.Header.Get(pimento.HeaderOutcome)),
			Reason: pimento.Reason(res.Header.Get(pimento.HeaderReason)), RetryAfter: retryAfter(res),
			Text: string(bytes.TrimSpace(text)),
		}
	}
	if err := json.Unmarshal(text, &answer); err != nil {
		return answer, &WrongError{Detail: err.Error()}
	}
	return answer, check(r, res, answer)
}

// retryAfter returns when a refused caller should come back.
func retryAfter(res *http.Response) time.Duration {
	s, err := strconv.ParseFloat(res.Header.Get("Retry-After"), 64)
	if err != nil {
		return 0
	}
	return time.Duration(s * float64(time.Second))
}

// exchange sends a request and reads the answer whole.
func exchange(ctx context.Context, r Request) (*http.Response, []byte, error) {
	req, err := http.NewRequestWithContext(ctx, r.Method, r.URL, io.NopCloser(bytes.NewReader(r.Body)))
	if err != nil {
		return nil, nil, err
	}
	req.ContentLength = int64(len(r.Body))
	req.Header.Set(pimento.HeaderTimeout, r.Timeout.String())
	if r.Key != "" {
		req.Header.Set(pimento.HeaderKey, r.Key)
	}
	if r.ID != "" {
		req.Header.Set(pimento.HeaderIdempotencyKey, r.ID)
	}
	res, err := client.Do(req)
	if err != nil {
		return nil, nil, err
	}
	defer res.Body.Close()
	text, err := io.ReadAll(io.LimitReader(res.Body, maxAnswer))
	return res, text, err
}

func check(r Request, res *http.Response, answer upstreamfaker.Answer) error {
	sum := sha256.Sum256(r.Body)
	switch {
	case answer.ID != res.Header.Get(pimento.HeaderRequestID):
		return &WrongError{Detail: "it carries the ID " + answer.ID}
	case answer.Digest != hex.EncodeToString(sum[:]):
		return &WrongError{Detail: "the upstream got another body"}
	case r.Key != "" && answer.Key != pimento.KeyOf(r.Key):
		return &WrongError{Detail: "it is of another key"}
	}
	return nil
}

// Stream is a flow of requests by a few callers: reads of keys, and orders
// that must run at most once. Set the exported fields before Start.
type Stream struct {
	URLs    []string
	Callers int
	Keyed   string // path of a category that is divided by key
	Orders  string // path of a category for orders

	mu      sync.Mutex
	stopped bool
	summary Summary
	orders  map[string]pimento.Outcome
	running sync.WaitGroup
}

// Summary is what a stream has seen so far.
type Summary struct {
	Sent     int
	Answered int
	NotRun   int
	Unknown  int
	Cut      int
	Wrong    []string
	Slowest  time.Duration
}

// String writes the summary as one line.
func (s Summary) String() string {
	return fmt.Sprintf("%d requests: %d answered, %d not run, %d unknown, %d cut, %d wrong; slowest %s",
		s.Sent, s.Answered, s.NotRun, s.Unknown, s.Cut, len(s.Wrong), s.Slowest.Round(time.Millisecond))
}

// Start lets the callers begin.
func (s *Stream) Start() {
	s.orders = make(map[string]pimento.Outcome)
	for i := range s.Callers {
		s.running.Go(func() { s.call(i) })
	}
}

// Stop lets the callers finish their last requests.
func (s *Stream) Stop() {
	s.mu.Lock()
	s.stopped = true
	s.mu.Unlock()
	s.running.Wait()
}

func (s *Stream) isStopped() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stopped
}

func (s *Stream) call(caller int) {
	for n := 0; !s.isStopped(); n++ {
		url := s.URLs[(caller+n)%len(s.URLs)]
		r := Request{Method: http.MethodGet, URL: url + s.Keyed, Key: fmt.Sprintf("soum-%d-%d", caller, n%97)}
		if n%orderEvery == 0 {
			r = Request{Method: http.MethodPost, URL: url + s.Orders, ID: fmt.Sprintf("order-%d-%d", caller, n), Body: []byte("track pieces")}
		}
		started := time.Now()
		_, err := Send(context.Background(), r)
		s.note(r, err, time.Since(started))
		time.Sleep(callerPause)
	}
}

func (s *Stream) note(r Request, err error, took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.summary.Sent++
	s.summary.Slowest = max(s.summary.Slowest, took)
	outcome := outcomeOf(err)
	switch outcome {
	case pimento.OutcomeAnswered:
		s.summary.Answered++
	case pimento.OutcomeNotRun:
		s.summary.NotRun++
	default:
		s.summary.Unknown++
	}
	var cut *CutError
	var wrong *WrongError
	if errors.As(err, &cut) {
		s.summary.Cut++
	}
	if errors.As(err, &wrong) {
		s.summary.Wrong = append(s.summary.Wrong, wrong.Error())
	}
	if r.ID != "" {
		s.orders[r.ID] = outcome
	}
}

// outcomeOf returns what a caller may conclude from an error of Send.
func outcomeOf(err error) pimento.Outcome {
	var refused *RefusedError
	switch {
	case err == nil:
		return pimento.OutcomeAnswered
	case errors.As(err, &refused):
		return refused.Outcome
	default:
		return pimento.OutcomeUnknown
	}
}

// Summary returns what was seen so far.
func (s *Stream) Summary() Summary {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := s.summary
	out.Wrong = slices.Clone(out.Wrong)
	return out
}

// OrderOutcomes returns the outcome of every order by its ID.
func (s *Stream) OrderOutcomes() map[string]pimento.Outcome {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.orders)
}
