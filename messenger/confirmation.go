package messenger

import "time"

// Stamp is a moment of the clock of a member, which alone can read it.
type Stamp struct {
	Process uint64 `cbor:"1,keyasint"` // random, so that a later process of the host accepts none of this one
	At      int64  `cbor:"2,keyasint"` // Unix nanoseconds of timekeeper
}

// Confirmation says when the leader's last read of a part of the state in the store
// began, in relation to the moment at which it got a member's stamp.
type Confirmation struct {
	Stamp   Stamp         `cbor:"1,keyasint"`
	Later   time.Duration `cbor:"2,keyasint"` // from then to the beginning of the read; may be negative
	Version uint64        `cbor:"3,keyasint"` // of that part as of the read
	Era     uint64        `cbor:"4,keyasint,omitempty"`
}
