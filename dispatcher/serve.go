package dispatcher

import (
	"context"
	"errors"

	"pimentorelay.example/pimento"
	"pimentorelay.example/pimento/limiter"
)

// Serve runs a request at the upstream that owns its key, or at the one that
// it names. The process from which it came may keep a record of it too.
func (d *Dispatcher) Serve(ctx context.Context, from pimento.ProcessID, head pimento.RequestHead, witness pimento.Witnessing, body pimento.Body) (pimento.Answer, error) {
	if head.Idempotent || !head.CallerID {
		return d.run(ctx, head, body)
	}
	o := &once{d: d, from: from, head: head, witness: witness, body: body}
	return o.serve(ctx)
}

// route finds lane and hold of a request. The hold is nil where any upstream
// of the service will do.
func (d *Dispatcher) route(head *pimento.RequestHead) (*lane, *hold, error) {
	if head.Upstream != "" {
		if l := d.lane(head.Upstream); l != nil && d.unkeyed(l.server.Service) {
			return l, nil, nil
		}
		return nil, nil, pimento.NotRun(pimento.ReasonNotHolder, string(head.Upstream))
	}
	id, ok := d.Plan().Lookup(head.Service, head.KeyHash)
	if !ok {
		return nil, nil, pimento.NotRun(pimento.ReasonNoRoute, string(head.Service))
	}
	for _, l := range d.all() {
		l.mu.Lock()
		h, ok := l.holds[id]
		l.mu.Unlock()
		if ok {
			return l, h, nil
		}
	}
	return nil, nil, pimento.NotRun(pimento.ReasonNotHolder, "the slice is not held here")
}

// run queues a request and sends it to its upstream.
func (d *Dispatcher) run(ctx context.Context, head pimento.RequestHead, body pimento.Body) (pimento.Answer, error) {
	l, h, err := d.route(&head)
	if err != nil {
		return pimento.Answer{}, err
	}
	ctx, cancel := context.WithDeadline(ctx, head.Deadline)
	j := &job{lane: l, hold: h, head: head, ctx: ctx, cancel: cancel}
	if err := j.enter(ctx); err != nil {
		cancel()
		return pimento.Answer{}, err
	}
	fence, err := j.begin()
	if err != nil {
		j.end(limiter.ResultRefused, false)
		return pimento.Answer{}, err
	}
	if h != nil {
		j.unlink = context.AfterFunc(h.ctx, cancel)
	}
	answer, err := l.client.Serve(ctx, head, fence, body.Reader())
	if err != nil {
		result, doubtful := classify(ctx, err)
		j.end(result, doubtful)
		return pimento.Answer{}, err
	}
	answer.Body = &jobBody{body: answer.Body, job: j}
	return answer, nil
}

// classify says what a failed request tells of its upstream, and whether the
// upstream may still be running it.
func classify(ctx context.Context, err error) (limiter.Result, bool) {
	var out *pimento.OutcomeError
	if !errors.As(err, &out) {
		return limiter.ResultFailed, true
	}
	switch {
	case out.Outcome == pimento.OutcomeNotRun && out.Reason == pimento.ReasonRefused:
		return limiter.ResultRefused, false
	case ctx.Err() != nil:
		return limiter.ResultCancelled, true
	case out.Reason == pimento.ReasonWrongAnswer:
		return limiter.ResultCancelled, true
	default:
		return limiter.ResultFailed, out.Outcome != pimento.OutcomeNotRun
	}
}
