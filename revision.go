package pimento

import (
	"cmp"
	"strconv"
)

// Revision is a revision of the platform's store. The zero value means that there is
// none. A store that was restored from a copy gives its numbers out again, in a new
// era, so revisions of different eras say nothing about what was written earlier.
type Revision struct {
	Era    uint64 // zero: the store names no era
	Number uint64
}

// IsZero reports whether r is no revision.
func (r Revision) IsZero() bool { return r.Number == 0 }

// After reports whether r was given out after o.
func (r Revision) After(o Revision) bool {
	return cmp.Or(cmp.Compare(r.Era, o.Era), cmp.Compare(r.Number, o.Number)) > 0
}

// String returns the number, behind the era if there is one.
func (r Revision) String() string {
	number := strconv.FormatUint(r.Number, 10)
	if r.Era == 0 {
		return number
	}
	return strconv.FormatUint(r.Era, 10) + "/" + number
}
