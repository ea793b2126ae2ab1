package pimento

import "io"

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
