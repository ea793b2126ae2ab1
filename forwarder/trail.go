package forwarder

import (
	"errors"
	"time"

	"pimentorelay.example/pimento"
)

// Basis is who decided for an upstream, and by what.
type Basis struct {
	Dispatcher pimento.ProcessID
	Running    int           // requests at the upstream, this one included
	Slots      int           // that it had then
	Expected   time.Duration // that this request was to take there
	Owners     uint64        // version of the owners of keys that the dispatcher knew; zero: none
}

// Attempt is one try of a request that got a permit.
type Attempt struct {
	Upstream pimento.UpstreamName
	Basis    Basis
	Waited   time.Duration // for the permit
	Took     time.Duration // to the head of the answer, or to its end if that was short
	Err      error         // nil: answered
}

// Trail is what has happened to a request so far.
type Trail struct {
	Began    time.Time
	Manifest uint64        // version that was in force; zero: none was known
	Waited   time.Duration // for permits, those that were refused too
	Tries    []Attempt
	Replayed bool // it was answered from the record of an earlier copy
}

// overall returns what the error of the last try means for the request: where
// an earlier try may have run, it has not certainly not run.
func (t *Trail) overall(err error) error {
	var last *pimento.OutcomeError
	if !errors.As(err, &last) || last.Outcome != pimento.OutcomeNotRun {
		return err
	}
	for _, a := range t.Tries {
		var out *pimento.OutcomeError
		if errors.As(a.Err, &out) && out.Outcome == pimento.OutcomeNotRun || a.Err == nil {
			continue
		}
		whole := *last
		whole.Outcome = pimento.OutcomeUnknown
		return &whole
	}
	return err
}

// Observer is told what happens to requests. It must not block.
type Observer interface {
	// Repeated says that a request is tried again after err.
	Repeated(r *pimento.Request, t *Trail, err error)
	// Ended says that a request was answered with a status, or ended with err,
	// an *pimento.OutcomeError. A long answer still has to reach its caller.
	Ended(r *pimento.Request, t *Trail, status int, err error)
}
