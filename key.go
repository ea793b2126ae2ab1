package pimento

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// Key is a place in the key space of a service that is divided by key. All
// requests of one place have the same owner.
type Key uint16

// MaxKey is the last place of the key space.
const MaxKey Key = 1<<16 - 1

// KeyOf places a key that is text (the top bits of its xxHash64).
func KeyOf(text string) Key { return Key(xxhash.Sum64String(text) >> 48) }

// KeyRange is a span of keys, both ends included.
type KeyRange struct {
	From Key
	To   Key
}

// AllKeys is the whole key space.
var AllKeys = KeyRange{From: 0, To: MaxKey}

// Len returns the number of keys.
func (r KeyRange) Len() int { return int(r.To) - int(r.From) + 1 }

// Contains reports whether the range holds a key.
func (r KeyRange) Contains(k Key) bool { return r.From <= k && k <= r.To }

// Overlaps reports whether two ranges have keys in common.
func (r KeyRange) Overlaps(o KeyRange) bool { return r.From <= o.To && o.From <= r.To }

// String writes the range as "From-To".
func (r KeyRange) String() string { return fmt.Sprintf("%d-%d", r.From, r.To) }
