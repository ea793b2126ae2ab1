package forwarder

import (
	"time"

	"pimentorelay.example/pimento"
)

// lastSendBefore is how long before the end of this process a request is last sent that may last
// longer than the process.
const lastSendBefore = time.Second

// mayOutlast reports whether a request may last longer than this process, and when the process
// ends the requests that are left.
func (f *Forwarder) mayOutlast(r *pimento.Request) (end time.Time, ok bool) {
	if f.EndsAt == nil {
		return time.Time{}, false
	}
	end = f.EndsAt()
	return end, !end.IsZero() && r.Deadline.After(end)
}

// checkArrival returns the refusal of a request that arrives while this process ends and may
// last longer. If it were sent, its answer could be cut off.
func (f *Forwarder) checkArrival(r *pimento.Request) error {
	if _, ok := f.mayOutlast(r); ok {
		return pimento.RefuseStopping("the request may last longer than this process, which is shutting down")
	}
	return nil
}

// checkSend returns the refusal of a request that has waited until this process is about to
// end: its upstream would hardly answer before.
func (f *Forwarder) checkSend(r *pimento.Request) error {
	if end, ok := f.mayOutlast(r); ok && time.Until(end) < lastSendBefore {
		return pimento.RefuseStopping("the request has waited until this process is about to end")
	}
	return nil
}
