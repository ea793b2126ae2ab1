package elector

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"pimentorelay.example/pimento"
)

// TestFreezeBeforeTermIsAdopted guards against authority that lasts too long: the store
// showed the term when the write was sent, and the process froze before it handled the
// answer, while a successor counted from then.
func TestFreezeBeforeTermIsAdopted(t *testing.T) {
	is := is.New(t)
	m := New("a", DefaultTiming())
	sentAt, thawedAt := t0, t0.Add(5*time.Second)
	m.AdoptTerm(thawedAt, pimento.Term{Epoch: 1, Leader: "a", Confirmers: ids("a", "b", "c")})
	m.HandleReply(thawedAt, "b", 1, true)
	m.Tick(thawedAt, noneEnded)
	is.True(m.AuthorityUntil().IsZero()) // how old the answer is must be known first
	m.RecordVerified(sentAt, 1)
	end := sentAt.Add(m.timing.MaxWithoutStore)
	m.Tick(end, noneEnded)
	m.HandleReply(end, "b", 1, true)
	is.Equal(m.AuthorityUntil(), end)
}
