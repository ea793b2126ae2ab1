package deduper

import (
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"pimentorelay.example/pimento"
)

var now = time.Unix(1_700_000_000, 0)

func record(state pimento.RecordState, witness pimento.ProcessID) pimento.Record {
	return pimento.Record{ID: "order", State: state, Witness: witness}
}

func TestBegin(t *testing.T) {
	is := is.New(t)
	b := &Book{}
	e, state := b.Begin(now, record("", ""))
	is.Equal(state, Fresh)
	_, state = b.Begin(now, record("", ""))
	is.Equal(state, Joined)
	b.Finish(e, pimento.RecordAnswered, pimento.AnswerHead{Status: 200}, []byte("x"))
	again, state := b.Begin(now, record("", ""))
	is.Equal(state, Finished)
	is.Equal(b.Read(again).Body, []byte("x"))
	_, state = b.Begin(now.Add(KeepFor), record("", ""))
	is.Equal(state, Fresh) // expired
}

func TestDroppedMayRunAgain(t *testing.T) {
	is := is.New(t)
	b := &Book{}
	e, _ := b.Begin(now, record("", ""))
	b.Drop(e)
	_, state := b.Begin(now, record("", ""))
	is.Equal(state, Fresh)
}

// TestMerge merges records in order, and lets a witness send the request again.
func TestMerge(t *testing.T) {
	running, answered, unknown := pimento.RecordRunning, pimento.RecordAnswered, pimento.RecordUnknown
	cases := []struct {
		name   string
		merged []pimento.Record
		from   pimento.ProcessID // the witness that sends again, if any
		want   State
		state  pimento.RecordState
	}{
		{"an answer goes before a run", []pimento.Record{record(running, "w"), record(answered, "w")}, "", Finished, answered},
		{"a run does not undo an answer", []pimento.Record{record(answered, "w"), record(running, "w")}, "", Finished, answered},
		{"its witness may take a run back", []pimento.Record{record(running, "w")}, "w", Fresh, running},
		{"another may not", []pimento.Record{record(running, "w")}, "v", Finished, running},
		{"nobody may without a witness", []pimento.Record{record(running, "")}, "", Finished, running},
		{"two witnesses may not", []pimento.Record{record(running, "w"), record(running, "v")}, "v", Finished, running},
		{"nor in the other order", []pimento.Record{record(running, "v"), record(running, "w")}, "v", Finished, running},
		{"an unknown end may not", []pimento.Record{record(unknown, "w")}, "w", Finished, unknown},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			b := &Book{}
			for _, r := range c.merged {
				b.Merge(now, []pimento.Record{r})
			}
			e, state := b.Begin(now, record("", c.from))
			is.Equal(state, c.want)
			is.Equal(b.Read(e).State, c.state)
		})
	}
}

func TestMergeLeavesWhatRunsHere(t *testing.T) {
	is := is.New(t)
	b := &Book{}
	e, _ := b.Begin(now, record("", ""))
	b.Merge(now, []pimento.Record{record(pimento.RecordAnswered, "w")})
	is.Equal(b.Read(e).State, pimento.RecordRunning)
	b.Finish(e, pimento.RecordUnknown, pimento.AnswerHead{}, nil)
}

// BenchmarkBegin is the cost of one record, entered and finished.
func BenchmarkBegin(b *testing.B) {
	book := &Book{}
	body := make([]byte, 200)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		e, state := book.Begin(now, pimento.Record{ID: strconv.Itoa(i % (maxRecords / 2))})
		if state == Fresh {
			book.Finish(e, pimento.RecordAnswered, pimento.AnswerHead{Status: 200}, body)
		}
	}
}
