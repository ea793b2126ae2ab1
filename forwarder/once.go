package forwarder

import (
	"bytes"
	"context"
	"errors"
	"io"

	"pimentorelay.example/pimento"
	"pimentorelay.example/pimento/deduper"
)

// forwardOnce forwards a request with a caller's ID if it is new, and otherwise
// answers it from its record.
func (f *Forwarder) forwardOnce(ctx context.Context, r *pimento.Request, body io.Reader, trace *Trace) (pimento.Answer, error) {
	beginCtx, cancel := context.WithDeadline(ctx, r.Deadline)
	record, fresh, err := f.Records.Begin(beginCtx, r)
	cancel()
	if err != nil {
		return pimento.Answer{}, err
	}
	if !fresh {
		trace.Replayed = true
		return replay(record)
	}
	forwardCtx := ctx
	if r.BodyLength >= 0 && r.BodyLength <= maxBufferedBody {
		forwardCtx = context.WithoutCancel(ctx) // record its end even if the caller disconnects
	}
	answer, err := f.forward(forwardCtx, r, body, trace)
	if err != nil {
		record.State = pimento.RecordUnknown
		var failure *pimento.OutcomeError
		if errors.As(err, &failure) && failure.Outcome == pimento.OutcomeNotRun {
			record.State = "" // a later duplicate may run
		}
		f.Records.Finish(ctx, record)
		return pimento.Answer{}, err
	}
	return f.recordAnswer(ctx, record, answer)
}

// replay answers a duplicate from the record.
func replay(r pimento.Record) (pimento.Answer, error) {
	switch {
	case r.State != pimento.RecordAnswered:
		return pimento.Answer{}, pimento.Unknown(pimento.ReasonRecordLost, "an earlier copy may have run")
	case r.Answer.BodyLength > int64(len(r.Body)):
		return pimento.Answer{}, pimento.Unknown(pimento.ReasonAnswerNotKept, "an earlier copy has run; its answer was too large to keep")
	}
	head := r.Answer
	head.Header = head.Header.Clone() // leaves that of the record unchanged
	return pimento.Answer{Head: head, Body: io.NopCloser(bytes.NewReader(r.Body))}, nil
}

// recordAnswer records an answer before its caller receives it, a long one
// without its body.
func (f *Forwarder) recordAnswer(ctx context.Context, record pimento.Record, answer pimento.Answer) (pimento.Answer, error) {
	record.State = pimento.RecordAnswered
	record.Answer = answer.Head
	record.Answer.Header = answer.Head.Header.Clone()
	if n := answer.Head.BodyLength; n < 0 || n > deduper.MaxBodyBytes {
		record.Answer.BodyLength = max(n, deduper.MaxBodyBytes+1)
		f.Records.Finish(ctx, record)
		return answer, nil
	}
	data, err := io.ReadAll(answer.Body)
	answer.Body.Close()
	if err != nil {
		record.State = pimento.RecordUnknown
		record.Answer = pimento.AnswerHead{}
		f.Records.Finish(ctx, record)
		return pimento.Answer{}, pimento.Unknown(pimento.ReasonUpstreamLost, "the answer broke off: "+err.Error())
	}
	record.Body = data
	f.Records.Finish(ctx, record)
	answer.Body = io.NopCloser(bytes.NewReader(data))
	return answer, nil
}
