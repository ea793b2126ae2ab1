package pimento

import "time"

// EventNumber names a kind of event. docs/EVENTS.md is the catalogue.
type EventNumber int

// The events. A number is never used again for another meaning.
const (
	EventProcessStarted   EventNumber = 1001
	EventProcessStopping  EventNumber = 1002
	EventProcessStopped   EventNumber = 1003
	EventRegistered       EventNumber = 1004
	EventExcluded         EventNumber = 1005
	EventDutyFailed       EventNumber = 1006
	EventPlanLearned      EventNumber = 2001
	EventPlanWritten      EventNumber = 2002
	EventPlanConflict     EventNumber = 2003
	EventPlanUncertain    EventNumber = 2004
	EventConfigInvalid    EventNumber = 2006
	EventPlatformLost     EventNumber = 2007
	EventPlatformBack     EventNumber = 2008
	EventLeading          EventNumber = 2009
	EventLeadingEnded     EventNumber = 2010
	EventTermLearned      EventNumber = 2011
	EventWriteUncertain   EventNumber = 2012
	EventWriteConflict    EventNumber = 2013
	EventManifestLearned  EventNumber = 2014
	EventJoinFailed       EventNumber = 2015
	EventAuthorityGained  EventNumber = 3001
	EventAuthorityLost    EventNumber = 3002
	EventProcessSuspected EventNumber = 3003
	EventUpstreamTaken    EventNumber = 4001
	EventUpstreamStopped  EventNumber = 4002
	EventUpstreamDrained  EventNumber = 4003
	EventSliceTaken       EventNumber = 4004
	EventSliceStopped     EventNumber = 4005
	EventSliceDrained     EventNumber = 4006
	EventUpstreamLost     EventNumber = 5001
	EventUpstreamBack     EventNumber = 5002
	EventUpstreamRestart  EventNumber = 5003
	EventRecordsLost      EventNumber = 5004
	EventGrantFailed      EventNumber = 4007
	EventReleased         EventNumber = 4008
	EventKeysMoved        EventNumber = 4009
	EventRequestUnknown   EventNumber = 6001
	EventRequestNotRun    EventNumber = 6002
)

// eventNames are the names of the events in logs and on the time line.
var eventNames = map[EventNumber]string{
	EventProcessStarted:   "process started",
	EventProcessStopping:  "process is shutting down",
	EventProcessStopped:   "process stopped",
	EventRegistered:       "process registered",
	EventExcluded:         "process is no longer listed",
	EventDutyFailed:       "duty failed and is started again",
	EventPlanLearned:      "plan learned",
	EventPlanWritten:      "plan written",
	EventPlanConflict:     "plan was written by another process",
	EventPlanUncertain:    "plan write gave no answer",
	EventConfigInvalid:    "configuration in the platform is not valid",
	EventPlatformLost:     "platform gives no answer",
	EventPlatformBack:     "platform answers again",
	EventLeading:          "process leads",
	EventLeadingEnded:     "process leads no more",
	EventTermLearned:      "term learned",
	EventWriteUncertain:   "write of the assignment gave no answer",
	EventWriteConflict:    "assignment was written by another process",
	EventManifestLearned:  "manifest learned",
	EventJoinFailed:       "the leader could not be told of this process",
	EventAuthorityGained:  "authority gained",
	EventAuthorityLost:    "authority lost",
	EventProcessSuspected: "process suspected",
	EventUpstreamTaken:    "upstream taken up",
	EventUpstreamStopped:  "upstream is being given back",
	EventUpstreamDrained:  "upstream given back",
	EventSliceTaken:       "slice taken up",
	EventSliceStopped:     "slice is being given back",
	EventSliceDrained:     "slice given back",
	EventUpstreamLost:     "upstream lost",
	EventUpstreamBack:     "upstream answers again",
	EventUpstreamRestart:  "upstream has restarted",
	EventRecordsLost:      "request records may be lost",
	EventGrantFailed:      "grant of keys failed",
	EventReleased:         "release of keys ended",
	EventKeysMoved:        "keys go to another upstream",
	EventRequestUnknown:   "request ended with unknown outcome",
	EventRequestNotRun:    "request was not run",
}

// String returns the event's name.
func (n EventNumber) String() string { return eventNames[n] }

// EventNumbers returns all numbers of the catalogue, in no order.
func EventNumbers() []EventNumber {
	out := make([]EventNumber, 0, len(eventNames))
	for n := range eventNames {
		out = append(out, n)
	}
	return out
}

// Stamp is a time of a hybrid logical clock (Kulkarni and others, "Logical
// physical clocks", 2014): an event that could have caused another has the
// lower stamp, on whichever process.
type Stamp struct {
	Wall    time.Time
	Counter uint32
}

// Before orders stamps.
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
