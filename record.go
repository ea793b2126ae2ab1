package pimento

import "time"

// RecordState is what is known of a non-idempotent request.
type RecordState string

// The states of a record.
const (
	RecordRunning  RecordState = "Running"  // sent, or about to be sent, to an upstream
	RecordAnswered RecordState = "Answered" // Status, Header and Body hold the answer
	RecordUnknown  RecordState = "Unknown"  // may have run; no answer is stored
)

// Record stores the state of a non-idempotent request, so that it runs at most
// once.
type Record struct {
	ID      string
	Service ServiceName
	Runner  ProcessID // the process that sends the request to an upstream
	State   RecordState
	Answer  AnswerHead
	Body    []byte
	Expires time.Time `cbor:"-"` // on the clock of the process that holds the record
}
