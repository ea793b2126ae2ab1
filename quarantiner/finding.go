package quarantiner

import (
	"time"

	"pimentorelay.example/pimento"
)

// FindingKind says what was decided about a request.
type FindingKind string

// The kinds of findings.
const (
	FindingCounted FindingKind = "Counted" // a crash counts against a request
	FindingDropped FindingKind = "Dropped" // a broken connection counts for nothing
	FindingReset   FindingKind = "Reset"   // the counted crashes were forgotten
	FindingRefused FindingKind = "Refused" // the request is refused from now on
)

// Evidence says on what grounds it was decided.
type Evidence string

// The grounds of findings.
const (
	EvidenceDown      Evidence = "Down"      // the upstream could not be reached
	EvidenceRestarted Evidence = "Restarted" // it restarted, or its entry was removed
	EvidenceAnswered  Evidence = "Answered"  // it answered a request
	EvidenceLate      Evidence = "Late"      // it was found down or restarted after confirmWindow
	EvidenceFull      Evidence = "Full"      // too many requests are suspected there
	EvidenceReport    Evidence = "Report"    // another process says so
)

// maxFindings bounds the findings between two calls of Findings.
const maxFindings = 256

// Finding is one decision about a request whose connections broke.
type Finding struct {
	Kind        FindingKind
	Fingerprint Fingerprint
	Upstream    pimento.UpstreamName // empty if another process says so
	Count       int                  // crashes counted against the request, before a Reset
	Evidence    Evidence
	After       time.Duration // between the break and the evidence; zero if not known
}

// addFinding keeps a finding for Findings, unless there are too many.
func (m *Machine) addFinding(f Finding) {
	if len(m.findings) < maxFindings {
		m.findings = append(m.findings, f)
	}
}

// Findings returns the findings since the last call, the first maxFindings of them.
func (m *Machine) Findings() []Finding {
	findings := m.findings
	m.findings = nil
	return findings
}
