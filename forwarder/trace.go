package forwarder

import (
	"errors"
	"time"

	"pimentorelay.example/pimento"
)

// Basis is the dispatcher that chose an upstream, and the data that it used.
type Basis struct {
	Dispatcher pimento.ProcessID
	Running    int           // requests at the upstream, including this one
	Slots      int           // of the upstream then
	Expected   time.Duration // duration of this request there
	Owners     uint64        // version of the key owners known to the dispatcher; zero: none
	// UpstreamsAge is how old the upstreams known to the sender were as it sent the request.
	UpstreamsAge time.Duration
}

// Attempt is one attempt of a request that got a permit.
type Attempt struct {
	Upstream pimento.UpstreamName
	Basis    Basis
	Waited   time.Duration // for the permit
	Took     time.Duration // until the head of the answer, or its end if it is short
	Err      error         // nil: answered
}

// Trace records what has happened to a request so far.
type Trace struct {
	StartedAt time.Time
	Manifest  uint64        // version in force; zero: none was known
	Waited    time.Duration // for permits, including refused ones
	Attempts  []Attempt
	Replayed  bool // answered from the record of an earlier request with the same ID
}

// requestError returns the error of a request whose last attempt ended with err.
// NotRun becomes Unknown if an earlier attempt may have run.
func (t *Trace) requestError(err error) error {
	var last *pimento.OutcomeError
	if !errors.As(err, &last) || last.Outcome != pimento.OutcomeNotRun {
		return err
	}
	for _, a := range t.Attempts {
		var failure *pimento.OutcomeError
		if errors.As(a.Err, &failure) && failure.Outcome == pimento.OutcomeNotRun || a.Err == nil {
			continue
		}
		whole := *last
		whole.Outcome = pimento.OutcomeUnknown
		return &whole
	}
	return err
}

// Observer is notified of retries and ends of requests. It must not block.
type Observer interface {
	// Retried reports that a request is attempted again after err.
	Retried(r *pimento.Request, t *Trace, err error)
	// Ended reports that a request was answered with a status, or ended with err,
	// a *pimento.OutcomeError. A long answer is still to be sent to its caller.
	Ended(r *pimento.Request, t *Trace, status int, err error)
}
