package pimento

import "io"

// LoadReport is the load that an upstream reports. It may be outdated or wrong.
type LoadReport struct {
	InFlight int
	Waiting  int
	Slots    int
	// Slowness is the present duration of work relative to the usual; 1: as
	// usual, 0: not reported.
	Slowness float64
}

// Answer is an upstream's answer; Body must be closed.
type Answer struct {
	Head AnswerHead
	Body io.ReadCloser
}
