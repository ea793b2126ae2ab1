package pimento

import "slices"

// Term is the time of one leader with one set of confirmers. A process leads
// only while a majority of the confirmers confirms it.
type Term struct {
	Epoch      uint64
	Leader     ProcessID
	Confirmers []ProcessID
	// Prior are the sets of confirmers of earlier terms that may not all have
	// learned of this one.
	Prior [][]ProcessID
}

// Names reports whether a process confirms the term, or confirmed an earlier one
// that may not have ended.
func (t *Term) Names(id ProcessID) bool {
	return slices.Contains(t.Confirmers, id) ||
		slices.ContainsFunc(t.Prior, func(set []ProcessID) bool { return slices.Contains(set, id) })
}

// Majority returns how many of n make a majority.
func Majority(n int) int { return n/2 + 1 }

// Blocked reports whether the processes for which out holds leave too few
// others for a majority of list. An empty list is never blocked.
func Blocked(list []ProcessID, out func(ProcessID) bool) bool {
	left := 0
	for _, id := range list {
		if !out(id) {
			left++
		}
	}
	return len(list) > 0 && left < Majority(len(list))
}
