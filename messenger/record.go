package messenger

import "pimentorelay.example/pimento"

// Enter asks the keeper of records whether a request may run.
type Enter struct {
	Record pimento.Record
}

// Entered is the answer: Fresh means that it may, otherwise Record says what is
// known of an earlier copy. Refused means that the receiver cannot tell.
type Entered struct {
	Record  pimento.Record
	Fresh   bool
	Refused bool
}

// Finish tells the keeper of records how a request ended. A record without a
// state was not run.
type Finish struct {
	Record pimento.Record
}

// Copy sends copies of records to the second in line. The answer names the
// keeper if they were taken.
type Copy struct {
	Keeper  pimento.ProcessID
	Service pimento.ServiceName
	Round   uint64 // of the line that the keeper knows
	Records []pimento.Record
	Whole   bool // the receiver has all records now
}
