package forwarder

import (
	"bytes"
	"context"
	"errors"
	"io"

	"pimentorelay.example/pimento"
	"pimentorelay.example/pimento/deduper"
)

// once runs a request that its caller named if it is new, and otherwise answers
// from its record.
func (f *Forwarder) once(ctx context.Context, r *pimento.Request, body io.Reader, trail *Trail) (pimento.Answer, error) {
	entering, cancel := context.WithDeadline(ctx, r.Deadline)
	record, fresh, err := f.Records.Begin(entering, r)
	cancel()
	if err != nil {
		return pimento.Answer{}, err
	}
	if !fresh {
		trail.Replayed = true
		return replay(record)
	}
	running := ctx
	if r.BodyLength >= 0 && r.BodyLength <= keepSize {
		running = context.WithoutCancel(ctx) // its end is recorded though the caller leaves
	}
	answer, err := f.forward(running, r, body, trail)
	if err != nil {
		record.State = pimento.RecordUnknown
		var out *pimento.OutcomeError
		if errors.As(err, &out) && out.Outcome == pimento.OutcomeNotRun {
			record.State = "" // it may run later
		}
		f.Records.Finish(ctx, record)
		return pimento.Answer{}, err
	}
	return f.keepAnswer(ctx, record, answer)
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
	head.Header = head.Header.Clone() // the record stays as it is
	return pimento.Answer{Head: head, Body: io.NopCloser(bytes.NewReader(r.Body))}, nil
}

// keepAnswer records an answer before its caller gets it, a long one without
// its body.
func (f *Forwarder) keepAnswer(ctx context.Context, record pimento.Record, answer pimento.Answer) (pimento.Answer, error) {
	record.State = pimento.RecordAnswered
	record.Answer = answer.Head
	record.Answer.Header = answer.Head.Header.Clone()
	if n := answer.Head.BodyLength; n < 0 || n > deduper.MaxBody {
		record.Answer.BodyLength = max(n, deduper.MaxBody+1)
		f.Records.Finish(ctx, record)
		return answer, nil
	}
	text, err := io.ReadAll(answer.Body)
	answer.Body.Close()
	if err != nil {
		record.State = pimento.RecordUnknown
		record.Answer = pimento.AnswerHead{}
		f.Records.Finish(ctx, record)
		return pimento.Answer{}, pimento.Unknown(pimento.ReasonUpstreamLost, "the answer broke off: "+err.Error())
	}
	record.Body = text
	f.Records.Finish(ctx, record)
	answer.Body = io.NopCloser(bytes.NewReader(text))
	return answer, nil
}
