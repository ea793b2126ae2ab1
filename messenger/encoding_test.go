package messenger

import (
	"net/netip"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"pimentorelay.example/pimento"
	"pimentorelay.example/pimento/quarantiner"
)

// The messages with the field names that they have on the wire.
type (
	wireHeartbeat struct {
		Term     pimento.Term
		Blind    bool
		Versions Versions
	}
	wireVote struct {
		Epoch uint64
		Lacks bool
	}
	wireReport struct {
		Loads      []KeyLoad
		Speeds     []wireSpeed
		CrashFacts []wireCrashFact
	}
	wireCrashFact struct {
		Fingerprint uint64       `cbor:"1,keyasint"`
		Run         wireCrashRun `cbor:"2,keyasint"`
		Cleared     bool         `cbor:"3,keyasint"`
		Age         int64        `cbor:"4,keyasint"`
	}
	wireCrashRun struct {
		Upstream string `cbor:"1,keyasint"`
		Started  int64  `cbor:"2,keyasint"`
	}
	wireSpeed struct {
		Upstream string
		Capacity float64
	}
	wireHeartbeatReply struct {
		Epoch     uint64
		Confirmed bool
		Leaving   bool
		HasStore  bool
		Versions  Versions
		Report    wireReport
	}
	wireBeginRecord struct {
		Record pimento.Record
	}
	wireBeginRecordReply struct {
		Record  pimento.Record
		Fresh   bool
		Refused bool
	}
	wireCopy struct {
		Keeper  string
		Service string
		Round   uint64
		Records []pimento.Record
		Whole   bool
	}
	wirePool struct {
		Service string
		Index   int
		Line    []string
		Round   uint64
		Near    [2]uint64
	}
	wireRoster struct {
		Processes []pimento.Process
		Pools     []wirePool
	}
	wireState struct {
		Versions  Versions
		Roster    *wireRoster
		Upstreams *UpstreamList
		Owners    *OwnerList
		Manifest  []byte

		CrashFacts []wireCrashFact
	}
)

// TestFieldNamesOnTheWire checks that messages keep their keys and field names in
// CBOR. Processes of different versions could not talk to each other if a field
// were renamed without a tag.
func TestFieldNamesOnTheWire(t *testing.T) {
	term := pimento.Term{Epoch: 7, Leader: "a", Confirmers: []pimento.ProcessID{"a", "b"}, Prior: [][]pimento.ProcessID{{"a"}}}
	versions := Versions{Epoch: 7, Roster: 1, Upstreams: 2, Owners: 3, Manifest: 4, CrashFacts: 5}
	facts := []quarantiner.Fact{{Fingerprint: 7, Run: quarantiner.Run{Upstream: "u", Started: 1_800_000_000_123}, Cleared: true, Age: time.Second}}
	wireFacts := []wireCrashFact{{Fingerprint: 7, Run: wireCrashRun{Upstream: "u", Started: 1_800_000_000_123}, Cleared: true, Age: int64(time.Second)}}
	loads := []KeyLoad{{Service: "s", Key: 9, Count: 2}}
	record := pimento.Record{ID: "r", Service: "s", Runner: "a", State: pimento.RecordRunning}
	process := pimento.Process{
		ID: "a", Host: "h", Domain: "d", Token: "t", Strength: 2, Started: time.Date(2026, 12, 4, 10, 0, 0, 0, time.UTC),
		Peer: netip.MustParseAddrPort("127.0.0.1:1"), Caller: netip.MustParseAddrPort("127.0.0.1:2"), Operator: netip.MustParseAddrPort("127.0.0.1:3"),
	}
	for _, c := range []struct {
		name    string
		key     int // of the message in its frame
		wire    any
		message Message
	}{
		{
			"heartbeat", 6,
			wireHeartbeat{Term: term, Blind: true, Versions: versions},
			Message{Heartbeat: &Heartbeat{Term: term, StoreLost: true, Versions: versions}},
		},
		{
			"heartbeat reply with a report", 7,
			wireHeartbeatReply{
				Epoch: 7, Confirmed: true, Leaving: true, HasStore: true, Versions: versions,
				Report: wireReport{Loads: loads, Speeds: []wireSpeed{{Upstream: "u", Capacity: 12.5}}, CrashFacts: wireFacts},
			},
			Message{HeartbeatReply: &HeartbeatReply{
				Epoch: 7, Confirmed: true, Leaving: true, HasStore: true, Versions: versions,
				Report: Report{
					Loads: loads, Capacities: []UpstreamCapacity{{Upstream: "u", Capacity: 12.5}},
					CrashFacts: facts,
				},
			}},
		},
		{
			"vote", 8,
			wireVote{Epoch: 7, Lacks: true},
			Message{Vote: &Vote{Epoch: 7, Granted: true}},
		},
		{
			"state with a roster", 9,
			wireState{
				Versions: versions,
				Roster: &wireRoster{
					Processes: []pimento.Process{process},
					Pools:     []wirePool{{Service: "s", Index: 1, Line: []string{"a", "b"}, Round: 5, Near: [2]uint64{3, 4}}},
				},
				CrashFacts: wireFacts,
			},
			Message{State: &State{
				Versions: versions,
				Roster: &Roster{
					Processes: []pimento.Process{process},
					Pools: []pimento.Pool{{
						Service: "s", Index: 1, PreferenceList: []pimento.ProcessID{"a", "b"}, Generation: 5, NearSince: [2]uint64{3, 4},
					}},
				},
				CrashFacts: facts,
			}},
		},
		{
			"begin of a record", 15,
			wireBeginRecord{Record: record},
			Message{BeginRecord: &BeginRecord{Record: record}},
		},
		{
			"reply to the begin of a record", 16,
			wireBeginRecordReply{Record: record, Fresh: true, Refused: true},
			Message{BeginRecordReply: &BeginRecordReply{Record: record, Fresh: true, Refused: true}},
		},
		{
			"copy", 18,
			wireCopy{Keeper: "a", Service: "s", Round: 5, Records: []pimento.Record{record}, Whole: true},
			Message{Copy: &Copy{Primary: "a", Service: "s", Generation: 5, Records: []pimento.Record{record}, Whole: true}},
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			old, err := encMode.Marshal(map[int]any{c.key: c.wire})
			is.NoErr(err)
			var decoded Message
			is.NoErr(cbor.Unmarshal(old, &decoded))
			is.Equal(decoded, c.message)
			encoded, err := encMode.Marshal(&c.message)
			is.NoErr(err)
			is.Equal(encoded, old)
		})
	}
}

// TestOlderPeersIgnoreBars guards against messages about leaving or paused upstreams that a
// process of an older version cannot read, or that the news of an older one changes.
func TestOlderPeersIgnoreBars(t *testing.T) {
	type olderAcquire struct {
		Service string `cbor:"1,keyasint"`
		Repeat  bool   `cbor:"10,keyasint,omitempty"`
	}
	type olderDone struct {
		Ticket  uint64 `cbor:"3,keyasint"`
		Limited bool   `cbor:"11,keyasint,omitempty"`
	}
	is := is.New(t)
	acquire, err := encMode.Marshal(&Acquire{Service: "s", Repeat: true, Barred: []Bar{{Upstream: "u", Started: 5, Left: time.Second}}, Again: true})
	is.NoErr(err)
	var a olderAcquire
	is.NoErr(cbor.Unmarshal(acquire, &a))
	is.Equal(a, olderAcquire{Service: "s", Repeat: true})
	done, err := encMode.Marshal(&Done{Ticket: 7, Limited: true, Started: 5, Leaving: true, PausedFor: time.Second})
	is.NoErr(err)
	var d olderDone
	is.NoErr(cbor.Unmarshal(done, &d))
	is.Equal(d, olderDone{Ticket: 7, Limited: true})

	report, err := encMode.Marshal(&Report{Leaving: []pimento.Run{{Upstream: "u"}}, Paused: []Pause{{Left: time.Second}}})
	is.NoErr(err)
	var r wireReport
	is.NoErr(cbor.Unmarshal(report, &r))
	older, err := encMode.Marshal(&olderDone{Ticket: 7})
	is.NoErr(err)
	var present Done
	is.NoErr(cbor.Unmarshal(older, &present))
	is.Equal(present, Done{Ticket: 7})
}
