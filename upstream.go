package pimento

import (
	"context"
	"io"
	"time"
)

// Range is a span of key hashes, both ends included.
type Range struct {
	Start uint64
	End   uint64
}

// Grant tells an upstream which keys it owns. It replaces the grant before it
// if Fence and then Sequence are not lower. ValidUntil counts nanoseconds on
// the upstream's own clock, as read from its last GrantAnswer.
type Grant struct {
	Fence      uint64
	Sequence   uint64
	Ranges     []Range
	ValidUntil time.Duration
}

// GrantAnswer is what an upstream says of itself. Boot changes when it starts
// anew; Clock is its own monotonic clock.
type GrantAnswer struct {
	Accepted bool
	Fence    uint64
	Boot     string
	Clock    time.Duration
	InFlight int
}

// LoadReport is what an upstream says of its load. It may lag or mislead.
type LoadReport struct {
	InFlight int
	Waiting  int
	Slots    int
	// Slowness is how long work takes there now, 1 as usual; 0: not told.
	Slowness float64
}

// Answer is an upstream's answer; Body must be closed.
type Answer struct {
	Head AnswerHead
	Body io.ReadCloser
}

// Upstream is one server that owns keys.
type Upstream interface {
	// Grant hands over or renews the right to keys.
	Grant(ctx context.Context, grant Grant) (GrantAnswer, error)
	// Drain asks how many requests within ranges still run.
	Drain(ctx context.Context, ranges []Range) (int, error)
	// Health returns the upstream's identity and clock without any change.
	Health(ctx context.Context) (GrantAnswer, error)
	// Load returns the upstream's own report.
	Load(ctx context.Context) (LoadReport, error)
	// Serve runs one request. An error is an *OutcomeError. When ctx ends,
	// the request is cancelled.
	Serve(ctx context.Context, head RequestHead, fence uint64, body io.Reader) (Answer, error)
}
