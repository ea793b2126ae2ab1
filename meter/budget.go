// Package meter keeps the memory that callers take within a budget.
//
// Each connection of a caller has an account, to which its requests and answers are charged by
// what they cost here, not by their bytes on the wire. If the budget is used up, the greediest
// account gives way: its owner is told to close it, or refused if it is the one that asks for
// more. Callers with little are refused last.
//
// # Usage
//
//	b := &meter.Budget{Limit: 50 << 20}
//	a := b.Open(func() { conn.Close() })
//	if !a.Reserve(n) { ... refuse ... }
//	a.Release(n)
//	a.Close()
//
// A nil Budget or Account has no limit.
package meter

import "sync"

const (
	// reserveShare is the share of the limit that may be used beyond it while an account that
	// gives way still has its part.
	reserveShare = 1.0 / 8
	// shareOfOne is the share of the limit that one account may have while it asks for
	// more, as others wait.
	shareOfOne = 1.0 / 16
)

// Budget bounds what all accounts together have. Set the exported fields before use.
type Budget struct {
	Limit int64 // bytes; zero: none
	// MinShare is the least that one account may have, in bytes.
	MinShare int64
	// OnEvicted is called for each account that gives way, with what it had; it may be nil.
	OnEvicted func(used int64)

	mu       sync.Mutex
	used     int64
	accounts map[*Account]bool
}

// Account is what one caller has. Its methods are safe for concurrent use.
type Account struct {
	budget  *Budget
	evict   func()
	used    int64         // guarded by budget.mu, like all below
	evicted bool          // it has been told to close
	closed  bool          // what is still released is not counted any more
	changed chan struct{} // closed by the next release; nil: nobody waits
}

// Open adds an account. evict is called at most once, on a goroutine of its own, if the account
// has to give way.
func (b *Budget) Open(evict func()) *Account {
	if b == nil {
		return nil
	}
	a := &Account{budget: b, evict: evict}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.accounts == nil {
		b.accounts = make(map[*Account]bool)
	}
	b.accounts[a] = true
	return a
}

// Used returns what all accounts have, in bytes.
func (b *Budget) Used() int64 {
	if b == nil {
		return 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// Bound returns the limit in bytes, zero if there is none.
func (b *Budget) Bound() int64 {
	if b == nil {
		return 0
	}
	return b.Limit
}

// greediest returns the account with most, other than those that give way already, nil if there
// is none, and what those have. The caller holds mu.
func (b *Budget) greediest() (out *Account, leaving int64) {
	for a := range b.accounts {
		switch {
		case a.evicted:
			leaving += a.used
		case out == nil || a.used > out.used:
			out = a
		}
	}
	return out, leaving
}

// yield makes an account give way. The caller holds mu.
func (b *Budget) yield(a *Account) {
	a.evicted = true
	go func(used int64) {
		a.evict()
		if b.OnEvicted != nil {
			b.OnEvicted(used)
		}
	}(a.used)
}

// Reserve adds n bytes to the account, and reports whether there is room for them. If not, the
// greediest account gives way, unless that is this one.
func (a *Account) Reserve(n int64) bool {
	if a == nil {
		return true
	}
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if a.evicted {
		return false
	}
	if b.Limit > 0 && b.used+n > b.Limit {
		victim, leaving := b.greediest()
		if b.used-leaving+n > b.Limit {
			if victim == a || victim.used <= a.used+n {
				return false
			}
			b.yield(victim)
		}
		if b.used+n > b.Limit+int64(reserveShare*float64(b.Limit)) {
			return false
		}
	}
	a.add(n)
	return true
}

// Charge adds n bytes that are there already. If the budget is exceeded, the greediest account
// gives way.
func (a *Account) Charge(n int64) {
	if a == nil {
		return
	}
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	a.add(n)
	if b.Limit > 0 && b.used > b.Limit {
		if victim, leaving := b.greediest(); victim != nil && b.used-leaving > b.Limit {
			b.yield(victim)
		}
	}
}

// add adds n bytes. The caller holds the mutex of the budget.
func (a *Account) add(n int64) {
	if a.closed {
		return
	}
	a.used += n
	a.budget.used += n
}

// Release takes n bytes off the account.
func (a *Account) Release(n int64) {
	if a == nil || n == 0 {
		return
	}
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	a.add(-n)
	if a.changed != nil {
		close(a.changed)
		a.changed = nil
	}
}

// Close drops the account with all that it has.
func (a *Account) Close() {
	if a == nil {
		return
	}
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used -= a.used
	a.used, a.closed = 0, true
	delete(b.accounts, a)
}

// HasRoom reports whether the account has less than its share of the budget. If not, changed is
// closed when it has less.
func (a *Account) HasRoom() (ok bool, changed <-chan struct{}) {
	if a == nil {
		return true, nil
	}
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.Limit == 0 || a.used < max(b.MinShare, int64(shareOfOne*float64(b.Limit))) {
		return true, nil
	}
	if a.changed == nil {
		a.changed = make(chan struct{})
	}
	return false, a.changed
}
