package leader

import (
	"context"
	"testing"

	"github.com/matryer/is"

	"pimentorelay.example/pimento"
	"pimentorelay.example/pimento/elector"
	"pimentorelay.example/pimento/timekeeper"
)

// TestRestartedTaskRemembersItsTerm guards against a process that confirms a leader again which
// it has seen replaced, since its task has failed and was started again.
func TestRestartedTaskRemembersItsTerm(t *testing.T) {
	is := is.New(t)
	l := newPushTest(t).leader
	later := pimento.Term{Epoch: 7, Leader: l.Self.ID, Confirmers: []pimento.ProcessID{l.Self.ID}}
	l.elector.AdoptTerm(timekeeper.Now(), later)
	l.campaigning = true
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	is.True(l.Run(ctx) != nil)
	is.Equal(l.elector.Term().Epoch, uint64(7))
	is.True(!l.elector.IsLeader()) // a step may have failed half-way
	is.True(!l.campaigning)
	replaced := elector.Heartbeat{From: "b-1", Term: pimento.Term{Epoch: 6, Leader: "b-1", Confirmers: []pimento.ProcessID{l.Self.ID}}}
	is.True(!l.elector.HandleHeartbeat(timekeeper.Now(), replaced))
}
