package messenger

import "pimentorelay.example/pimento"

// Enter asks the keeper of records whether a request may run.
type Enter struct {
	Record pimento.Record
}

// Entered is the reply. Fresh means that the request may run; otherwise Record is
// that of an earlier copy. Refused means that the receiver cannot decide.
type Entered struct {
	Record  pimento.Record
	Fresh   bool
	Refused bool
}

// Finish reports to the keeper of records how a request ended. A record without
// a state means that it was not run.
type Finish struct {
	Record pimento.Record
}

// Copy sends copies of records to the first backup in the preference list. The
// reply names the keeper if they were accepted.
type Copy struct {
	Keeper  pimento.ProcessID
	Service pimento.ServiceName
	Round   uint64 // generation of the preference list that the keeper knows
	Records []pimento.Record
	Whole   bool // the receiver has all records now
}
