package dispatcher

import (
	"bytes"
	"context"
	"errors"
	"io"
	"time"

	"pimentorelay.example/pimento"
	"pimentorelay.example/pimento/deduper"
)

// witnessTimeout bounds the update of a witness after a run.
const witnessTimeout = 100 * time.Millisecond

// once is a non-idempotent request that may have come before.
type once struct {
	d       *Dispatcher
	from    pimento.ProcessID
	head    pimento.RequestHead
	witness pimento.Witnessing
	body    pimento.Body
	entry   *deduper.Entry
}

// serve runs the request if it is new, and otherwise answers from its record.
func (o *once) serve(ctx context.Context) (pimento.Answer, error) {
	id, ok := o.d.Plan().Lookup(o.head.Service, o.head.KeyHash)
	if !ok {
		return pimento.Answer{}, pimento.NotRun(pimento.ReasonNoRoute, string(o.head.Service))
	}
	if _, h, err := o.d.route(&o.head); err != nil || !h.admits() {
		return pimento.Answer{}, pimento.NotRun(pimento.ReasonNotHolder, "the slice is not held here")
	}
	record := pimento.Record{ID: o.head.ID, Slice: id, KeyHash: o.head.KeyHash}
	if o.witness == pimento.WitnessFirst {
		record.Witness = o.from
	}
	for {
		entry, state := o.d.Book.Begin(time.Now(), record)
		o.entry = entry
		switch state {
		case deduper.Full:
			return pimento.Answer{}, pimento.NotRun(pimento.ReasonQueueFull, "no room for another request record")
		case deduper.Fresh:
			return o.runFresh(ctx)
		case deduper.Finished:
			return replay(o.d.Book.Read(entry))
		}
		select {
		case <-entry.Done:
			if r := o.d.Book.Read(entry); r.State != "" {
				return replay(r)
			}
		case <-ctx.Done():
			return pimento.Answer{}, pimento.Unknown(pimento.ReasonTimeout, "an earlier copy still runs")
		}
	}
}

// admits reports whether the slice lets requests in.
func (h *hold) admits() bool {
	if h == nil {
		return true
	}
	select {
	case <-h.stopped:
		return false
	default:
		return true
	}
}

// replay answers a duplicate from the record.
func replay(r pimento.Record) (pimento.Answer, error) {
	if r.State != pimento.RecordAnswered {
		return pimento.Answer{}, pimento.Unknown(pimento.ReasonRecordLost, "an earlier copy may have run")
	}
	if r.Answer.BodyLength > int64(len(r.Body)) {
		return pimento.Answer{}, pimento.Unknown(pimento.ReasonAnswerNotKept, "an earlier copy has run; its answer was too large to keep")
	}
	return pimento.Answer{Head: r.Answer, Body: io.NopCloser(bytes.NewReader(r.Body))}, nil
}

// runFresh runs a request whose record was just entered. Its end is recorded
// even if the caller has gone away meanwhile.
func (o *once) runFresh(ctx context.Context) (pimento.Answer, error) {
	if o.d.mayLackRecord(time.Now()) {
		o.finish(pimento.RecordUnknown, pimento.AnswerHead{}, nil)
		return pimento.Answer{}, pimento.Unknown(pimento.ReasonRecordLost, "records were lost with two failure domains")
	}
	if o.witness == pimento.WitnessNone {
		id, err := o.d.Witness(ctx, o.d.Book.Read(o.entry))
		if err != nil {
			o.d.Book.Drop(o.entry)
			return pimento.Answer{}, pimento.NotRun(pimento.ReasonPeerLost, "no witness: "+err.Error())
		}
		o.d.Book.SetWitness(o.head.ID, id)
	}
	running := context.WithoutCancel(ctx)
	if o.body.Stream != nil {
		running = ctx // the body comes from the caller, so its end ends the request
	}
	answer, err := o.d.run(running, o.head, o.body)
	if err != nil {
		o.fail(err)
		return pimento.Answer{}, err
	}
	return o.keep(answer)
}

// fail records the end of a request without an answer.
func (o *once) fail(err error) {
	var out *pimento.OutcomeError
	if errors.As(err, &out) && out.Outcome == pimento.OutcomeNotRun {
		o.d.Book.Drop(o.entry)
		o.tellWitness()
		return
	}
	o.finish(pimento.RecordUnknown, pimento.AnswerHead{}, nil)
}

// keep reads a short answer whole and records it. A longer one is recorded
// without its body.
func (o *once) keep(answer pimento.Answer) (pimento.Answer, error) {
	kept, err := io.ReadAll(io.LimitReader(answer.Body, deduper.MaxBody+1))
	if err != nil {
		answer.Body.Close()
		o.finish(pimento.RecordUnknown, pimento.AnswerHead{}, nil)
		return pimento.Answer{}, pimento.Unknown(pimento.ReasonUpstreamLost, "the answer was cut: "+err.Error())
	}
	if len(kept) > deduper.MaxBody {
		head := answer.Head
		head.BodyLength = max(head.BodyLength, int64(len(kept)))
		o.finish(pimento.RecordAnswered, head, nil)
		rest := answer.Body
		answer.Body = &joinedBody{Reader: io.MultiReader(bytes.NewReader(kept), rest), Closer: rest}
		return answer, nil
	}
	answer.Body.Close()
	answer.Head.BodyLength = int64(len(kept))
	o.finish(pimento.RecordAnswered, answer.Head, kept)
	answer.Body = io.NopCloser(bytes.NewReader(kept))
	return answer, nil
}

func (o *once) finish(state pimento.RecordState, head pimento.AnswerHead, body []byte) {
	o.d.Book.Finish(o.entry, state, head, body)
	o.tellWitness()
}

// tellWitness sends the end of the request to its witness before the caller
// hears of it. A sender that is the witness sees it by itself; one that misses
// it says Running, and a duplicate then ends as Unknown.
func (o *once) tellWitness() {
	if o.witness != pimento.WitnessNone {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), witnessTimeout)
	defer cancel()
	if _, err := o.d.Witness(ctx, o.d.Book.Read(o.entry)); err != nil {
		o.d.Events.Emit(pimento.EventRecordsLost, "Request", o.head.ID, "Cause", err)
	}
}

// joinedBody reads from one place and closes another.
type joinedBody struct {
	io.Reader
	io.Closer
}
