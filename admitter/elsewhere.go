package admitter

import (
	"errors"
	"fmt"
	"slices"

	"pimentorelay.example/pimento"
	"pimentorelay.example/pimento/scheduler"
)

// maxRedirects is how often a request is passed on to another pool: the owner of its key
// may change again meanwhile.
const maxRedirects = 2

// elsewhereError is the cause of a refusal by a dispatcher that does not have the owner of
// a key.
type elsewhereError struct{ pool int }

// Error names the pool of the owner.
func (e *elsewhereError) Error() string { return fmt.Sprintf("the owner is in pool %d", e.pool) }

// ownerPool returns the pool that a refusal names as that of the owner of the key.
func ownerPool(err error) (pool int, ok bool) {
	var elsewhere *elsewhereError
	if !errors.As(err, &elsewhere) {
		return 0, false
	}
	return elsewhere.pool, true
}

// redirect returns the pool of the owner of a key, as known here, for a refusal because
// that is not in the pool asked.
func (a *Admitter) redirect(asked poolKey, key pimento.Key, refusal *pimento.OutcomeError) (pool int, ok bool) {
	if refusal.Reason != pimento.ReasonElsewhere {
		return 0, false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	pool, ok = a.poolOfKey(asked.service, key, len(a.state.poolsOf(asked.service)))
	return pool, ok && pool != asked.index
}

// poolOfKey returns the index of the pool of the owner of a key; false if none is known.
// The caller holds mu.
func (a *Admitter) poolOfKey(service pimento.ServiceName, key pimento.Key, count int) (int, bool) {
	owners := a.state.Owners[service]
	i, found := slices.BinarySearchFunc(owners, key, func(o scheduler.Owner, k pimento.Key) int {
		switch {
		case o.To < k:
			return -1
		case o.From > k:
			return 1
		default:
			return 0
		}
	})
	if !found {
		return 0, false
	}
	return pimento.PoolOf(owners[i].Upstream, count), true
}
