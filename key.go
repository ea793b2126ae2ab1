package pimento

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// Key is a position in the key space of a keyed service. All requests with the
// same Key have the same owner.
type Key uint16

// MaxKey is the last key of the key space.
const MaxKey Key = 1<<16 - 1

// KeyOf returns the Key of a text: the top 16 bits of its xxHash64.
func KeyOf(text string) Key { return Key(xxhash.Sum64String(text) >> 48) }

// KeyRange is a range of keys, both ends included.
type KeyRange struct {
	From Key
	To   Key
}

// AllKeys is the whole key space.
var AllKeys = KeyRange{From: 0, To: MaxKey}

// Len returns the number of keys.
func (r KeyRange) Len() int { return int(r.To) - int(r.From) + 1 }

// Contains reports whether a key is in the range.
func (r KeyRange) Contains(k Key) bool { return r.From <= k && k <= r.To }

// Overlaps reports whether two ranges have keys in common.
func (r KeyRange) Overlaps(o KeyRange) bool { return r.From <= o.To && o.From <= r.To }

// String writes the range as "From-To".
func (r KeyRange) String() string { return fmt.Sprintf("%d-%d", r.From, r.To) }
