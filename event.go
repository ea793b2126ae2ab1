package pimento

import "time"

// EventNumber identifies a kind of event. docs/EVENTS.md is the catalogue.
type EventNumber int

// The events. Numbers are never reused for another meaning; docs/EVENTS.md lists
// the retired ones.
const (
	EventProcessStarted    EventNumber = 1001
	EventProcessStopping   EventNumber = 1002
	EventProcessStopped    EventNumber = 1003
	EventRegistered        EventNumber = 1004
	EventTaskFailed        EventNumber = 1006
	EventLinesDropped      EventNumber = 1007
	EventSettingsChanged   EventNumber = 1008
	EventSettingsInvalid   EventNumber = 1009
	EventCallerClosed      EventNumber = 1010
	EventConfigInvalid     EventNumber = 2006
	EventStoreLost         EventNumber = 2007
	EventStoreRecovered    EventNumber = 2008
	EventLeading           EventNumber = 2009
	EventLeadingEnded      EventNumber = 2010
	EventTermAdopted       EventNumber = 2011
	EventWriteUncertain    EventNumber = 2012
	EventWriteConflict     EventNumber = 2013
	EventManifestAdopted   EventNumber = 2014
	EventJoinFailed        EventNumber = 2015
	EventManifestSpread    EventNumber = 2016
	EventManifestMissing   EventNumber = 2017
	EventStateNotTaken     EventNumber = 2018
	EventManifestUsed      EventNumber = 2019
	EventStoreRestored     EventNumber = 2020
	EventStoreRepaired     EventNumber = 2021
	EventCopyTaken         EventNumber = 2022
	EventUpstreamsRead     EventNumber = 2023
	EventManifestNotes     EventNumber = 2024
	EventAssignmentInvalid EventNumber = 2025
	EventTermDoubted       EventNumber = 2026
	EventUpstreamLost      EventNumber = 5001
	EventUpstreamBack      EventNumber = 5002
	EventRecordsLost       EventNumber = 5004
	EventRecordNotKept     EventNumber = 5005
	EventLimitNamed        EventNumber = 5006
	EventLimitEnded        EventNumber = 5007
	EventLimitInvalid      EventNumber = 5008
	EventCrashCounted      EventNumber = 5009
	EventCrashDropped      EventNumber = 5010
	EventRequestRefused    EventNumber = 5011
	EventLeavingNamed      EventNumber = 5020
	EventPauseNamed        EventNumber = 5021
	EventPauseEnded        EventNumber = 5022
	EventPauseInvalid      EventNumber = 5023
	EventGrantFailed       EventNumber = 4007
	EventReleased          EventNumber = 4008
	EventKeysMoved         EventNumber = 4009
	EventKeysRegained      EventNumber = 4010
	EventRequestUnknown    EventNumber = 6001
	EventRequestNotRun     EventNumber = 6002
	EventRequestAnswered   EventNumber = 6003
	EventRequestRepeated   EventNumber = 6004
	EventAnswerCut         EventNumber = 6005
	EventAPIKeyAdded       EventNumber = 7001
	EventAPIKeyRemoved     EventNumber = 7002
	EventQuotaExhausted    EventNumber = 7003
	EventQuotaRegained     EventNumber = 7004
)

// eventNames are the names of the events in logs and on the timeline.
var eventNames = map[EventNumber]string{
	EventProcessStarted:    "process started",
	EventProcessStopping:   "process is shutting down",
	EventProcessStopped:    "process stopped",
	EventRegistered:        "process registered",
	EventTaskFailed:        "duty failed and is started again",
	EventLinesDropped:      "log lines were left out",
	EventSettingsChanged:   "settings have changed",
	EventSettingsInvalid:   "changed settings are not valid",
	EventCallerClosed:      "connection of a caller was closed for others",
	EventConfigInvalid:     "configuration in the platform is not valid",
	EventStoreLost:         "platform gives no answer",
	EventStoreRecovered:    "platform answers again",
	EventLeading:           "process leads",
	EventLeadingEnded:      "process leads no more",
	EventTermAdopted:       "term learned",
	EventWriteUncertain:    "write of the assignment gave no answer",
	EventWriteConflict:     "assignment was written by another process",
	EventManifestAdopted:   "manifest learned",
	EventJoinFailed:        "the leader could not be told of this process",
	EventManifestSpread:    "manifest is in force at all members",
	EventManifestMissing:   "members lack the manifest",
	EventStateNotTaken:     "a member has not confirmed a state",
	EventManifestUsed:      "first request under a manifest",
	EventStoreRestored:     "platform was restored from a copy",
	EventStoreRepaired:     "the leader has written its assignment again",
	EventCopyTaken:         "process leads from a copy of the assignment",
	EventUpstreamsRead:     "process reads the upstreams itself",
	EventManifestNotes:     "manifest has values that are not known",
	EventAssignmentInvalid: "assignment cannot be written",
	EventTermDoubted:       "upstream has seen the fence of another leader",
	EventUpstreamLost:      "upstream lost",
	EventUpstreamBack:      "upstream answers again",
	EventRecordsLost:       "request records may be lost",
	EventRecordNotKept:     "the end of a request could not be recorded",
	EventLimitNamed:        "upstream names a limit",
	EventLimitEnded:        "upstream names no limit any more",
	EventLimitInvalid:      "upstream names a limit that is not valid",
	EventCrashCounted:      "crash of an upstream counts against a request",
	EventCrashDropped:      "broken connection or crashes count for nothing",
	EventRequestRefused:    "request that crashes upstreams is refused",
	EventLeavingNamed:      "upstream says that it leaves",
	EventPauseNamed:        "upstream wants no requests from this process",
	EventPauseEnded:        "upstream takes requests from this process again",
	EventPauseInvalid:      "upstream names a pause that is not valid",
	EventGrantFailed:       "grant of keys failed",
	EventReleased:          "release of keys ended",
	EventKeysMoved:         "keys go to another upstream",
	EventKeysRegained:      "no earlier leader can have granted keys",
	EventRequestUnknown:    "request ended with unknown outcome",
	EventRequestNotRun:     "request was not run",
	EventRequestAnswered:   "request was answered",
	EventRequestRepeated:   "request is tried again",
	EventAnswerCut:         "answer did not reach its caller",
	EventAPIKeyAdded:       "API key is in force",
	EventAPIKeyRemoved:     "API key is no longer in force",
	EventQuotaExhausted:    "quota of a customer is exhausted",
	EventQuotaRegained:     "quota of a customer is no longer exhausted",
}

// String returns the event's name.
func (n EventNumber) String() string { return eventNames[n] }

// EventNumbers returns all numbers of the catalogue, in no particular order.
func EventNumbers() []EventNumber {
	out := make([]EventNumber, 0, len(eventNames))
	for n := range eventNames {
		out = append(out, n)
	}
	return out
}

// Stamp is a time of a hybrid logical clock (Kulkarni and others, "Logical
// physical clocks", 2014): an event that could have caused another has the
// lower stamp, across processes.
type Stamp struct {
	Wall    time.Time
	Counter uint32
}

// Before reports whether s is lower than o.
func (s Stamp) Before(o Stamp) bool {
	if !s.Wall.Equal(o.Wall) {
		return s.Wall.Before(o.Wall)
	}
	return s.Counter < o.Counter
}

// Attribute is one named value of an event.
type Attribute struct {
	Name  string
	Value string
}

// Event is one thing that happened in a process.
type Event struct {
	Stamp      Stamp
	Process    ProcessID
	Number     EventNumber
	Name       string
	Attributes []Attribute
}

// Age describes for the log how long ago t was, to a millisecond: Never if t is zero.
func Age(now, t time.Time) string {
	if t.IsZero() {
		return "Never"
	}
	return now.Sub(t).Round(time.Millisecond).String()
}
