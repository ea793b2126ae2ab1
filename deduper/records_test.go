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
	records := &Records{}
	e, state := records.Begin(now, record(""))
	is.Equal(state, Fresh)
	_, state = records.Begin(now, record(""))
	is.Equal(state, Joined)
	records.Finish(e, pimento.RecordAnswered, pimento.AnswerHead{Status: 200}, []byte("x"))
	again, state := records.Begin(now, record(""))
	is.Equal(state, Finished)
	is.Equal(records.Read(again).Body, []byte("x"))
	_, state = records.Begin(now.Add(RecordTTL), record(""))
	is.Equal(state, Fresh) // expired
}

func TestDeletedMayRunAgain(t *testing.T) {
	is := is.New(t)
	records := &Records{}
	e, _ := records.Begin(now, record(""))
	records.Delete(e)
	_, state := records.Begin(now, record(""))
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
			records := &Records{}
			for _, state := range c.states {
				records.Merge(now, []pimento.Record{record(state)})
			}
			e, state := records.Begin(now, record(""))
			is.Equal(state, c.want)
			is.Equal(records.Read(e).State, c.state)
		})
	}
}

func TestMergeKeepsRunningRecord(t *testing.T) {
	is := is.New(t)
	records := &Records{}
	e, _ := records.Begin(now, record(""))
	records.Merge(now, []pimento.Record{record(pimento.RecordAnswered)})
	is.Equal(records.Read(e).State, pimento.RecordRunning)
	records.Finish(e, pimento.RecordUnknown, pimento.AnswerHead{}, nil)
}

// BenchmarkBegin measures the cost of adding and finishing one record.
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
