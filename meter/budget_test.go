package meter

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// evictable opens an account and returns a channel that is closed when it gives way.
func evictable(b *Budget) (*Account, chan struct{}) {
	evicted := make(chan struct{})
	return b.Open(func() { close(evicted) }), evicted
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	case <-time.After(time.Second):
		return false
	}
}

// TestGreediestGivesWay checks that a caller with little gets room from the one with most, and
// that the one with most is refused more.
func TestGreediestGivesWay(t *testing.T) {
	is := is.New(t)
	b := &Budget{Limit: 1000}
	greedy, greedyGone := evictable(b)
	small, smallGone := evictable(b)
	is.True(greedy.Reserve(900))
	is.True(small.Reserve(50))
	is.True(!greedy.Reserve(100))
	is.True(small.Reserve(100)) // within the reserve, until the greedy one has gone
	is.True(isClosed(greedyGone))
	is.True(!greedy.Reserve(1)) // it gives way
	is.True(!small.Reserve(500))
	greedy.Close()
	is.Equal(b.Used(), int64(150))
	greedy.Release(900) // of requests that end later
	is.Equal(b.Used(), int64(150))
	is.True(small.Reserve(500))
	select {
	case <-smallGone:
		t.Fatal("the caller with little was closed")
	default:
	}
}

// TestAllAreEqual guards against callers that push each other out without end.
func TestAllAreEqual(t *testing.T) {
	is := is.New(t)
	b := &Budget{Limit: 1000}
	accounts := make([]*Account, 10)
	for i := range accounts {
		accounts[i], _ = evictable(b)
		is.True(accounts[i].Reserve(100))
	}
	for _, a := range accounts {
		is.True(!a.Reserve(100))
	}
	is.Equal(b.Used(), int64(1000))
}

// TestChargeBeyondTheLimit checks that what is there already is counted, and that the greediest
// gives way for it.
func TestChargeBeyondTheLimit(t *testing.T) {
	is := is.New(t)
	b := &Budget{Limit: 1000}
	greedy, gone := evictable(b)
	other, _ := evictable(b)
	is.True(greedy.Reserve(800))
	other.Charge(300)
	is.True(isClosed(gone))
	is.Equal(b.Used(), int64(1100))
}

// TestRoomOfOne checks that an account with more than its share waits until it has less.
func TestRoomOfOne(t *testing.T) {
	is := is.New(t)
	b := &Budget{Limit: 1600}
	a, _ := evictable(b)
	is.True(a.Reserve(99))
	ok, _ := a.HasRoom()
	is.True(ok)
	is.True(a.Reserve(1))
	ok, changed := a.HasRoom()
	is.True(!ok)
	a.Release(1)
	is.True(isClosed(changed))
	b.MinShare = 500
	is.True(a.Reserve(300))
	ok, _ = a.HasRoom()
	is.True(ok)
}

// TestNoBudget checks that without a budget nothing is refused.
func TestNoBudget(t *testing.T) {
	is := is.New(t)
	var b *Budget
	a := b.Open(nil)
	is.True(a.Reserve(1 << 40))
	a.Charge(1)
	a.Release(1)
	ok, _ := a.HasRoom()
	is.True(ok)
	a.Close()
	is.Equal(b.Used(), int64(0))
}
