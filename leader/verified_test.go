package leader

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"pimentorelay.example/pimento"
	"pimentorelay.example/pimento/elector"
	"pimentorelay.example/pimento/recorder"
	"pimentorelay.example/pimento/timekeeper"
)

// savingStore is a pimento.Store that saves each new entry.
type savingStore struct{ pimento.Store }

func (savingStore) Create(_ context.Context, e pimento.Entry) (pimento.Entry, error) {
	e.Revision = pimento.Revision{Era: 1, Number: 1}
	return e, nil
}

// TestFreezeBeforeTermIsAdopted guards against a leader that acts for too long since it
// froze after the store had shown its term, before it handled the answer.
func TestFreezeBeforeTermIsAdopted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		defer timekeeper.SetClock(time.Now)()
		timing := elector.DefaultTiming()
		l := &Leader{Self: proc("a", "a-1"), Store: savingStore{}, Events: &recorder.Recorder{}}
		l.Init()
		l.elector = elector.New(l.Self.ID, timing)
		next := pimento.Assignment{Term: pimento.Term{Epoch: 1, Leader: "a-1", Confirmers: []pimento.ProcessID{"a-1"}}, NextFence: 1}
		next.Members = []pimento.Member{{Process: l.Self}}
		sentAt := time.Now()
		l.writeAssignment(t.Context(), next, pimento.Revision{}, func(s storedAssignment, won bool) {
			l.adoptAssignment(timekeeper.Now(), s, won)
		})
		handle := <-l.inbox
		time.Sleep(5 * time.Second)
		handle()
		time.Sleep(timing.MaxWithoutStore - 5*time.Second)
		l.elector.Tick(time.Now(), l.ended)
		is.Equal(l.elector.AuthorityUntil(), sentAt.Add(timing.MaxWithoutStore))
	})
}
