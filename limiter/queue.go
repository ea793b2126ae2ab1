package limiter

import "slices"

// fairQueue serves keys in turn and the tickets of one key in order.
type fairQueue struct {
	keys    []uint64
	tickets map[uint64][]Ticket
}

func (q *fairQueue) push(t Ticket) {
	if q.tickets == nil {
		q.tickets = make(map[uint64][]Ticket)
	}
	if len(q.tickets[t.Key]) == 0 {
		q.keys = append(q.keys, t.Key)
	}
	q.tickets[t.Key] = append(q.tickets[t.Key], t)
}

// pop takes the first ticket of the key whose turn it is. The key goes to the
// end of the line if it has more.
func (q *fairQueue) pop() (Ticket, bool) {
	if len(q.keys) == 0 {
		return Ticket{}, false
	}
	key := q.keys[0]
	q.keys = q.keys[1:]
	list := q.tickets[key]
	if len(list) > 1 {
		q.tickets[key] = list[1:]
		q.keys = append(q.keys, key)
	} else {
		delete(q.tickets, key)
	}
	return list[0], true
}

// remove takes one ticket out.
func (q *fairQueue) remove(t Ticket) bool {
	list := q.tickets[t.Key]
	i := slices.IndexFunc(list, func(x Ticket) bool { return x.ID == t.ID })
	if i < 0 {
		return false
	}
	if len(list) > 1 {
		q.tickets[t.Key] = slices.Delete(list, i, i+1)
		return true
	}
	delete(q.tickets, t.Key)
	q.keys = slices.DeleteFunc(q.keys, func(k uint64) bool { return k == t.Key })
	return true
}
