// Package sender sends requests as callers do and checks that every answer is
// complete and belongs to its request and key. It expects the answers of package
// upstreamfaker.
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
	// defaultTimeout applies to requests without a timeout.
	defaultTimeout = 15 * time.Second
	// deadlineGrace is how long after the request's deadline a caller still waits.
	deadlineGrace = 3 * time.Second
	// maxAnswerBytes limits how much of an answer is read.
	maxAnswerBytes = 1 << 20
	// callerPause is the time between two requests of one caller.
	callerPause = 5 * time.Millisecond
	// orderEvery is the interval of orders among a caller's requests.
	orderEvery = 5
)

// Request is one request of a caller.
type Request struct {
	Method  string
	URL     string
	Key     string
	ID      string // Idempotency-Key
	APIKey  pimento.APIKey
	Body    []byte
	Timeout time.Duration // zero: the default
}

// RefusedError is an answer with a status other than 200.
type RefusedError struct {
	Status     int
	Outcome    pimento.Outcome
	Reason     pimento.Reason
	RetryAfter time.Duration // zero: no Retry-After header
	Text       string
}

// Error returns the text of the refusal.
func (e *RefusedError) Error() string { return fmt.Sprintf("status %d: %s", e.Status, e.Text) }

// IncompleteError means that no complete answer was received, which the caller
// can detect.
type IncompleteError struct{ Cause error }

// Error names the cause.
func (e *IncompleteError) Error() string { return "incomplete answer: " + e.Cause.Error() }

// WrongAnswerError means that an answer was received as complete but is not the
// right one.
type WrongAnswerError struct{ Detail string }

// Error says what is wrong.
func (e *WrongAnswerError) Error() string { return "wrong answer: " + e.Detail }

var client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}

// Send sends a request and returns the stand-in's answer. A request that was
// refused as not run is sent again after its Retry-After, within the timeout.
// The error is a *RefusedError, *IncompleteError or *WrongAnswerError.
func Send(ctx context.Context, r Request) (upstreamfaker.Answer, error) {
	if r.Timeout == 0 {
		r.Timeout = defaultTimeout
	}
	deadline := time.Now().Add(r.Timeout)
	for {
		answer, err := sendOnce(ctx, r)
		var refused *RefusedError
		if !errors.As(err, &refused) || refused.Outcome != pimento.OutcomeNotRun || refused.RetryAfter == 0 {
			return answer, err
		}
		if r.Timeout = time.Until(deadline) - refused.RetryAfter; r.Timeout <= 0 {
			return answer, err
		}
		time.Sleep(refused.RetryAfter)
	}
}

func sendOnce(ctx context.Context, r Request) (upstreamfaker.Answer, error) {
	var answer upstreamfaker.Answer
	ctx, cancel := context.WithTimeout(ctx, r.Timeout+deadlineGrace)
	defer cancel()
	res, body, err := roundTrip(ctx, r)
	if err != nil {
		return answer, &IncompleteError{Cause: err}
	}
	if res.StatusCode != http.StatusOK {
		return answer, &RefusedError{
			Status: res.StatusCode, Outcome: pimento.Outcome(res.Header.Get(pimento.HeaderOutcome)),
			Reason: pimento.Reason(res.Header.Get(pimento.HeaderReason)), RetryAfter: retryAfter(res),
			Text: string(bytes.TrimSpace(body)),
		}
	}
	if err := json.Unmarshal(body, &answer); err != nil {
		return answer, &WrongAnswerError{Detail: err.Error()}
	}
	return answer, checkAnswer(r, res, answer)
}

// retryAfter returns the delay in the Retry-After header, or 0 without a valid one.
func retryAfter(res *http.Response) time.Duration {
	s, err := strconv.ParseFloat(res.Header.Get("Retry-After"), 64)
	if err != nil {
		return 0
	}
	return time.Duration(s * float64(time.Second))
}

// roundTrip sends a request and reads the whole answer.
func roundTrip(ctx context.Context, r Request) (*http.Response, []byte, error) {
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
	if r.APIKey != "" {
		req.Header.Set(pimento.HeaderAuthorization, "Bearer "+string(r.APIKey))
	}
	res, err := client.Do(req)
	if err != nil {
		return nil, nil, err
	}
	defer res.Body.Close()
	body, err := io.ReadAll(io.LimitReader(res.Body, maxAnswerBytes))
	return res, body, err
}

func checkAnswer(r Request, res *http.Response, answer upstreamfaker.Answer) error {
	sum := sha256.Sum256(r.Body)
	switch {
	case answer.ID != res.Header.Get(pimento.HeaderRequestID):
		return &WrongAnswerError{Detail: "unexpected request ID " + answer.ID}
	case answer.Digest != hex.EncodeToString(sum[:]):
		return &WrongAnswerError{Detail: "the digest of the request body does not match"}
	case r.Key != "" && answer.Key != pimento.KeyOf(r.Key):
		return &WrongAnswerError{Detail: "the key does not match that of the request"}
	}
	return nil
}

// Stream generates load from a few callers: reads of keys, and orders that must
// run at most once. Set the exported fields before Start.
type Stream struct {
	URLs    []string
	Callers int
	Keyed   string // path of a category that is divided by key
	Orders  string // path of a category for orders
	APIKey  pimento.APIKey

	mu      sync.Mutex
	stopped bool
	summary Summary
	orders  map[string]pimento.Outcome
	wg      sync.WaitGroup
}

// Summary counts the results of a stream so far.
type Summary struct {
	Sent     int
	Answered int
	NotRun   int
	Unknown  int
	Cut      int
	Wrong    []string
	Slowest  time.Duration
}

// String returns the summary as one line.
func (s Summary) String() string {
	return fmt.Sprintf("%d requests: %d answered, %d not run, %d unknown, %d cut, %d wrong; slowest %s",
		s.Sent, s.Answered, s.NotRun, s.Unknown, s.Cut, len(s.Wrong), s.Slowest.Round(time.Millisecond))
}

// Start starts the callers.
func (s *Stream) Start() {
	s.orders = make(map[string]pimento.Outcome)
	for i := range s.Callers {
		s.wg.Go(func() { s.runCaller(i) })
	}
}

// Stop stops the callers and waits for their last requests.
func (s *Stream) Stop() {
	s.mu.Lock()
	s.stopped = true
	s.mu.Unlock()
	s.wg.Wait()
}

func (s *Stream) isStopped() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stopped
}

func (s *Stream) runCaller(caller int) {
	for n := 0; !s.isStopped(); n++ {
		url := s.URLs[(caller+n)%len(s.URLs)]
		r := Request{Method: http.MethodGet, URL: url + s.Keyed, Key: fmt.Sprintf("soum-%d-%d", caller, n%97)}
		if n%orderEvery == 0 {
			r = Request{Method: http.MethodPost, URL: url + s.Orders, ID: fmt.Sprintf("order-%d-%d", caller, n), Body: []byte("track pieces")}
		}
		r.APIKey = s.APIKey
		started := time.Now()
		_, err := Send(context.Background(), r)
		s.record(r, err, time.Since(started))
		time.Sleep(callerPause)
	}
}

func (s *Stream) record(r Request, err error, took time.Duration) {
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
	var incomplete *IncompleteError
	var wrong *WrongAnswerError
	if errors.As(err, &incomplete) {
		s.summary.Cut++
	}
	if errors.As(err, &wrong) {
		s.summary.Wrong = append(s.summary.Wrong, wrong.Error())
	}
	if r.ID != "" {
		s.orders[r.ID] = outcome
	}
}

// outcomeOf returns the outcome that a caller may assume after Send.
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

// Summary returns the results so far.
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
