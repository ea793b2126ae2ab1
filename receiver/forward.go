package receiver

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"time"

	"pimentorelay.example/pimento"
	"pimentorelay.example/pimento/deduper"
)

// maxUnknown is how often an idempotent request may be sent again after a try
// that may have run.
const maxUnknown = 8

// once reads a streamed body and notes whether any of it was read.
type once struct {
	io.Reader
	read bool
}

// Read implements io.Reader.
func (o *once) Read(p []byte) (int, error) {
	o.read = true
	return o.Reader.Read(p)
}

// forward passes a request on until it is answered or may not be tried again.
func (r *Receiver) forward(ctx context.Context, head pimento.RequestHead, body pimento.Body) (pimento.Answer, error) {
	var stream *once
	if body.Stream != nil {
		stream = &once{Reader: body.Stream}
		body.Stream = stream
	}
	pause, unknown := minRetry, 0
	for {
		answer, err := r.try(ctx, head, body)
		if err == nil {
			return answer, nil
		}
		var out *pimento.OutcomeError
		if !errors.As(err, &out) || !retriable(out, &head) || stream != nil && stream.read {
			return pimento.Answer{}, err
		}
		if out.Outcome == pimento.OutcomeUnknown {
			if unknown++; unknown > maxUnknown {
				return pimento.Answer{}, err
			}
		}
		if !sleep(ctx, pause) {
			return pimento.Answer{}, err
		}
		r.Meter.Retried(out.Reason)
		pause = min(2*pause, maxRetry)
	}
}

// retriable reports whether a request may be sent again after an outcome.
func retriable(out *pimento.OutcomeError, head *pimento.RequestHead) bool {
	switch out.Reason {
	case pimento.ReasonBadRequest, pimento.ReasonNoRoute, pimento.ReasonQueueFull, pimento.ReasonTimeout,
		pimento.ReasonBodyCut:
		return false
	}
	if out.Outcome == pimento.OutcomeNotRun || head.Idempotent {
		return true
	}
	// A dispatcher that is gone has left a record, which its successor answers
	// from: the same ID cannot run twice.
	return out.Reason == pimento.ReasonPeerLost && head.CallerID
}

// sleep pauses with jitter and reports whether the deadline leaves time.
func sleep(ctx context.Context, pause time.Duration) bool {
	t := time.NewTimer(pause/2 + rand.N(pause/2))
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// try sends a request once.
func (r *Receiver) try(ctx context.Context, head pimento.RequestHead, body pimento.Body) (pimento.Answer, error) {
	target, ok := r.Router.Route(&head)
	if !ok {
		return pimento.Answer{}, pimento.NotRun(pimento.ReasonNoOwner, "no process has the right to this key now")
	}
	if target.ID == r.Self.ID {
		return r.Local.Serve(ctx, r.Self.ID, head, pimento.WitnessNone, body)
	}
	if head.Idempotent || !head.CallerID || target.Domain == r.Self.Domain {
		return r.Peers.Serve(ctx, target, head, pimento.WitnessNone, body)
	}
	return r.tryAsWitness(ctx, target, head, body)
}

// tryAsWitness sends a request once and keeps a record of it, so that the loss
// of its dispatcher cannot make it run twice.
func (r *Receiver) tryAsWitness(ctx context.Context, target pimento.Process, head pimento.RequestHead, body pimento.Body) (pimento.Answer, error) {
	entry, state := r.Book.Begin(time.Now(), pimento.Record{
		ID: head.ID, Slice: pimento.SliceID{Service: head.Service}, KeyHash: head.KeyHash, Witness: r.Self.ID,
	})
	switch state {
	case deduper.Full:
		return pimento.Answer{}, pimento.NotRun(pimento.ReasonQueueFull, "no room for another request record")
	case deduper.Joined, deduper.Finished:
		return r.Peers.Serve(ctx, target, head, pimento.WitnessLater, body)
	}
	answer, err := r.Peers.Serve(ctx, target, head, pimento.WitnessFirst, body)
	var out *pimento.OutcomeError
	switch {
	case err == nil:
		answer.Body = &witnessBody{body: answer.Body, book: r.Book, entry: entry, head: answer.Head}
	case errors.As(err, &out) && out.Outcome == pimento.OutcomeNotRun:
		r.Book.Drop(entry)
	default:
		r.Book.Finish(entry, pimento.RecordUnknown, pimento.AnswerHead{}, nil)
	}
	return answer, err
}

// witnessBody records an answer while the caller reads it.
type witnessBody struct {
	body  io.ReadCloser
	book  *deduper.Book
	entry *deduper.Entry
	head  pimento.AnswerHead
	kept  []byte
	long  bool
	ended bool
}

// Read implements io.Reader.
func (b *witnessBody) Read(p []byte) (int, error) {
	n, err := b.body.Read(p)
	b.long = b.long || len(b.kept)+n > deduper.MaxBody
	if !b.long {
		b.kept = append(b.kept, p[:n]...)
	}
	if err == io.EOF {
		b.end(pimento.RecordAnswered)
	}
	return n, err
}

// Close implements io.Closer.
func (b *witnessBody) Close() error {
	b.end(pimento.RecordUnknown)
	return b.body.Close()
}

func (b *witnessBody) end(state pimento.RecordState) {
	if b.ended {
		return
	}
	b.ended = true
	if b.long {
		b.head.BodyLength = max(b.head.BodyLength, deduper.MaxBody+1)
		b.kept = nil
	}
	b.book.Finish(b.entry, state, b.head, b.kept)
}
