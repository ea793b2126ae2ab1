package pimento

import "slices"

// Term is the term of office of one leader with one set of confirmers. A process
// leads only while a majority of the confirmers confirms it.
type Term struct {
	Epoch      uint64
	Leader     ProcessID
	Confirmers []ProcessID
	// Prior are the sets of confirmers of earlier terms that may not all know
	// this one yet.
	Prior [][]ProcessID
}

// Includes reports whether a process confirms the term, or confirmed an earlier
// one that may not have ended.
func (t *Term) Includes(id ProcessID) bool {
	return slices.Contains(t.Confirmers, id) ||
		slices.ContainsFunc(t.Prior, func(set []ProcessID) bool { return slices.Contains(set, id) })
}

// Majority returns the size of a majority of n.
func Majority(n int) int { return n/2 + 1 }

// LacksMajority reports whether list without the excluded processes is too small
// for a majority of list. It is false for an empty list.
func LacksMajority(list []ProcessID, excluded func(ProcessID) bool) bool {
	remaining := 0
	for _, id := range list {
		if !excluded(id) {
			remaining++
		}
	}
	return len(list) > 0 && remaining < Majority(len(list))
}
