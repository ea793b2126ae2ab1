package limiter

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"pimentorelay.example/pimento"
)

var now = time.Unix(1_700_000_000, 0)

func ticket(id, key uint64, class pimento.Class) Ticket {
	return Ticket{ID: id, Key: key, Class: class, Deadline: now.Add(time.Minute)}
}

func TestColdLimitGrowsWithSuccessAndFalls(t *testing.T) {
	is := is.New(t)
	m := New(4)
	is.Equal(m.Limit(), 1)
	for range growAfter {
		is.Equal(m.Offer(now, ticket(1, 1, pimento.ClassInteractive)), Admitted)
		m.Done(now, pimento.ClassInteractive, ResultSuccess, time.Millisecond)
	}
	is.Equal(m.Limit(), 2)
	m.Warm(9)
	is.Equal(m.Limit(), 4) // never more than the slots
	is.Equal(m.Offer(now, ticket(1, 1, pimento.ClassInteractive)), Admitted)
	m.Done(now, pimento.ClassInteractive, ResultFailed, time.Millisecond)
	is.Equal(m.Limit(), 1)
}

func TestOrderOfTheQueue(t *testing.T) {
	is := is.New(t)
	m := New(1)
	is.Equal(m.Offer(now, ticket(1, 1, pimento.ClassInteractive)), Admitted)
	is.Equal(m.Offer(now, ticket(2, 1, pimento.ClassUpload)), Queued)
	is.Equal(m.Offer(now, ticket(3, 7, pimento.ClassInteractive)), Queued) // hot key
	is.Equal(m.Offer(now, ticket(4, 7, pimento.ClassInteractive)), Queued)
	is.Equal(m.Offer(now, ticket(5, 8, pimento.ClassInteractive)), Queued)
	class := pimento.ClassInteractive
	var got []uint64
	for range 4 {
		next := m.Done(now, class, ResultSuccess, time.Millisecond)
		is.Equal(len(next), 1)
		got = append(got, next[0])
		if next[0] == 2 {
			class = pimento.ClassUpload
		}
	}
	is.Equal(got, []uint64{3, 5, 4, 2}) // keys in turn, uploads last
}

func TestUploadsLeaveSlots(t *testing.T) {
	is := is.New(t)
	m := New(4)
	m.Warm(4)
	is.Equal(m.Offer(now, ticket(1, 1, pimento.ClassUpload)), Admitted)
	is.Equal(m.Offer(now, ticket(2, 2, pimento.ClassUpload)), Admitted)
	is.Equal(m.Offer(now, ticket(3, 3, pimento.ClassUpload)), Queued)
}

func TestRefusals(t *testing.T) {
	is := is.New(t)
	m := New(1)
	is.Equal(m.Offer(now, Ticket{ID: 1, Deadline: now}), Refused) // too late already
	is.Equal(m.Offer(now, ticket(1, 1, pimento.ClassInteractive)), Admitted)
	for i := range uint64(queuePerSlot) {
		is.Equal(m.Offer(now, ticket(2+i, i, pimento.ClassInteractive)), Queued)
	}
	is.Equal(m.Offer(now, ticket(99, 1, pimento.ClassInteractive)), Refused) // full
	is.True(m.Leave(ticket(2, 0, pimento.ClassInteractive)))
	is.True(!m.Leave(ticket(2, 0, pimento.ClassInteractive)))
	is.Equal(m.Queued(), queuePerSlot-1)
}

func TestHopelessRequestsAreRefusedOnArrival(t *testing.T) {
	is := is.New(t)
	m := New(1)
	m.Offer(now, ticket(1, 1, pimento.ClassInteractive))
	for range 200 { // runs take a second
		m.Done(now, pimento.ClassInteractive, ResultSuccess, time.Second)
		m.Offer(now, ticket(1, 1, pimento.ClassInteractive))
	}
	soon := Ticket{ID: 2, Deadline: now.Add(100 * time.Millisecond)}
	is.Equal(m.Offer(now, soon), Refused)
	is.Equal(m.Offer(now, ticket(3, 1, pimento.ClassInteractive)), Queued)
}
