package deduper

import (
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"pimentorelay.example/pimento"
)

var now = time.Unix(1_700_000_000, 0)

func record(state pimento.RecordState) pimento.Record {
	return pimento.Record{ID: "order", State: state}
}

func TestBegin(t *testing.T) {
	is := is.New(t)
	b := &Records{}
	e, state := b.Begin(now, record(""))
	is.Equal(state, Fresh)
	_, state = b.Begin(now, record(""))
	is.Equal(state, Joined)
	b.Finish(e, pimento.RecordAnswered, pimento.AnswerHead{Status: 200}, []byte("x"))
	again, state := b.Begin(now, record(""))
	is.Equal(state, Finished)
	is.Equal(b.Read(again).Body, []byte("x"))
	_, state = b.Begin(now.Add(RecordTTL), record(""))
	is.Equal(state, Fresh) // expired
}

func TestDeletedMayRunAgain(t *testing.T) {
	is := is.New(t)
	b := &Records{}
	e, _ := b.Begin(now, record(""))
	b.Delete(e)
	_, state := b.Begin(now, record(""))
	is.Equal(state, Fresh)
}

// TestMerge checks the record that is left after copies are merged in order.
func TestMerge(t *testing.T) {
	running, answered, unknown := pimento.RecordRunning, pimento.RecordAnswered, pimento.RecordUnknown
	for _, c := range []struct {
		name   string
		states []pimento.RecordState
		want   State
		state  pimento.RecordState
	}{
		{"answered replaces running", []pimento.RecordState{running, answered}, Finished, answered},
		{"running does not replace answered", []pimento.RecordState{answered, running}, Finished, answered},
		{"unknown does not replace answered", []pimento.RecordState{answered, unknown}, Finished, answered},
		{"a copied running record is final", []pimento.RecordState{running}, Finished, running},
		{"unknown replaces running", []pimento.RecordState{running, unknown}, Finished, unknown},
		{"no state deletes the record", []pimento.RecordState{running, ""}, Fresh, running},
		{"no state without a record", []pimento.RecordState{""}, Fresh, running},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			b := &Records{}
			for _, state := range c.states {
				b.Merge(now, []pimento.Record{record(state)})
			}
			e, state := b.Begin(now, record(""))
			is.Equal(state, c.want)
			is.Equal(b.Read(e).State, c.state)
		})
	}
}

func TestMergeKeepsRunningRecord(t *testing.T) {
	is := is.New(t)
	b := &Records{}
	e, _ := b.Begin(now, record(""))
	b.Merge(now, []pimento.Record{record(pimento.RecordAnswered)})
	is.Equal(b.Read(e).State, pimento.RecordRunning)
	b.Finish(e, pimento.RecordUnknown, pimento.AnswerHead{}, nil)
}

// BenchmarkBegin measures the cost of entering and finishing one record.
func BenchmarkBegin(b *testing.B) {
	records := &Records{}
	body := make([]byte, 200)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		e, state := records.Begin(now, pimento.Record{ID: strconv.Itoa(i % (maxRecords / 2))})
		if state == Fresh {
			records.Finish(e, pimento.RecordAnswered, pimento.AnswerHead{Status: 200}, body)
		}
	}
}
