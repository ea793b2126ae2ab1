package pimento

import "time"

// UpstreamCondition is what a dispatcher sees of an upstream.
type UpstreamCondition string

// The conditions.
const (
	ConditionReady UpstreamCondition = "Ready"
	ConditionCold  UpstreamCondition = "Cold"
	ConditionLost  UpstreamCondition = "Lost"
)

// UpstreamReport is a dispatcher's own view of an upstream.
type UpstreamReport struct {
	Upstream  UpstreamName
	Condition UpstreamCondition
	Rate      float64 // requests a second
	Limit     int     // requests that may run at once
	Queued    int
	Boot      string // the run of the upstream that this is about
	InFlight  int
}

// SliceLoad is the request rate of a slice, by its dispatcher's count.
type SliceLoad struct {
	Slice   SliceID
	Rate    float64 // requests a second
	HotKeys []KeyLoad
}

// KeyLoad is the request rate of one key hash.
type KeyLoad struct {
	Hash uint64
	Rate float64 // requests a second
}

// ConfirmAsk is a heartbeat: the sender asks to be confirmed in its epoch and
// reports what it sees.
type ConfirmAsk struct {
	Stamp   Stamp
	From    ProcessID
	Epoch   uint64
	Lost    []UpstreamName
	Reports []UpstreamReport
	Loads   []SliceLoad
	Leaving bool
}

// ConfirmAnswer confirms the asker, or not. Withdrawn is what the confirmer
// has recorded in its epoch.
type ConfirmAnswer struct {
	Stamp     Stamp
	From      ProcessID
	Epoch     uint64
	Confirmed bool
	Withdrawn Withdrawn
}

// HandoverAsk asks whether the receiver still uses any of the named rights,
// and for the request records of the slices in Gather.
type HandoverAsk struct {
	From      ProcessID
	Epoch     uint64
	Round     uint64 // grows with each question of the sender
	Upstreams []UpstreamName
	Slices    []SliceID
	Gather    []SliceID
}

// HandoverAnswer names the rights still in use, and the records of the
// slices in Gather.
type HandoverAnswer struct {
	From          ProcessID
	Epoch         uint64
	BusyUpstreams []UpstreamName
	BusySlices    []SliceID
	Records       []Record
}

// RecordState is what is known of a non-idempotent request.
type RecordState string

// The states of a record.
const (
	RecordRunning  RecordState = "Running"  // sent, or about to be sent, to an upstream
	RecordAnswered RecordState = "Answered" // Status, Header and Body hold the answer
	RecordUnknown  RecordState = "Unknown"  // may have run, no answer is kept
)

// Witnessing says what record the sender of a request keeps of it.
type Witnessing string

// The kinds. A sender that keeps the first record sends a request again only
// after a copy that was not run.
const (
	WitnessNone  Witnessing = "None"
	WitnessFirst Witnessing = "First"
	WitnessLater Witnessing = "Later" // an earlier copy may run or have run
)

// Record remembers a non-idempotent request, so that it runs at most once.
type Record struct {
	ID      string
	Slice   SliceID
	KeyHash uint64
	Witness ProcessID // the process that keeps a copy, if it is the sender
	State   RecordState
	Answer  AnswerHead
	Body    []byte
	Expires time.Time // on the clock of the process that holds the record
}
