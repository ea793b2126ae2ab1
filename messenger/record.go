package messenger

import "pimentorelay.example/pimento"

// BeginRecord asks the primary of a service's records whether a request may run.
type BeginRecord struct {
	Record pimento.Record
}

// BeginRecordReply is the reply. Fresh means that the request may run; otherwise
// Record is that of an earlier request with the same ID. Refused means that the
// receiver cannot decide.
type BeginRecordReply struct {
	Record  pimento.Record
	Fresh   bool
	Refused bool
}

// Finish reports to the primary how a request ended. A record without a state
// means that it was not run.
type Finish struct {
	Record pimento.Record
}

// Copy sends copies of records to the first backup in the preference list. The
// reply names the primary if they were accepted.
type Copy struct {
	Primary    pimento.ProcessID `json:"Keeper"`
	Service    pimento.ServiceName
	Generation uint64 `json:"Round"` // of the preference list that the primary knows
	Records    []pimento.Record
	Whole      bool // the receiver has all records now
}
