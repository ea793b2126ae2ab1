package quarantiner

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestFindings checks what is told of counted crashes, and of broken connections that
// count for nothing.
func TestFindings(t *testing.T) {
	const bad = Fingerprint(1)
	a := runAt("a", 0)
	others := []Fact{{Fingerprint: bad, Run: runAt("b", 0)}, {Fingerprint: bad, Run: runAt("c", 0)}, {Fingerprint: bad, Run: runAt("d", 0)}}
	for _, c := range []struct {
		name string
		run  func(m *Machine)
		want []Finding
	}{
		{"counted", func(m *Machine) {
			m.ConnectionBroke(t0, a, bad)
			m.Down(at(1), a)
		}, []Finding{{Kind: FindingCounted, Fingerprint: bad, Run: a, Count: 1, Evidence: EvidenceDown, After: time.Second}}},
		{"found late", func(m *Machine) {
			m.ConnectionBroke(t0, a, bad)
			list(m, at(30), runAt("a", 9), false)
		}, []Finding{{Kind: FindingCounted, Fingerprint: bad, Run: a, Count: 1, Evidence: EvidenceRestarted, After: 30 * time.Second}}},
		{"upstream answers", func(m *Machine) {
			m.ConnectionBroke(t0, a, bad)
			m.Answered(at(2), a, at(1), 2)
		}, []Finding{{Kind: FindingDoubted, Fingerprint: bad, Run: a, Evidence: EvidenceAnswered, After: 2 * time.Second}}},
		{"a copy is answered", func(m *Machine) {
			m.ConnectionBroke(t0, a, bad)
			m.Answered(at(2), runAt("b", 0), at(1), bad)
		}, []Finding{{Kind: FindingDropped, Fingerprint: bad, Run: a, Evidence: EvidenceAnswered, After: 2 * time.Second}}},
		{"told by another process, twice", func(m *Machine) {
			m.Merge(t0, others)
			m.Merge(t0, others)
		}, []Finding{{Kind: FindingRefused, Fingerprint: bad, Run: others[2].Run, Count: 3, Evidence: EvidenceReport}}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			m := New()
			c.run(m)
			is.Equal(m.Findings(), c.want)
			is.Equal(len(m.Findings()), 0)
		})
	}
}

// TestFindingsAreBounded guards against findings that nobody takes.
func TestFindingsAreBounded(t *testing.T) {
	is := is.New(t)
	m := New()
	for i := range 2 * maxFindings {
		m.ConnectionBroke(t0, runAt("a", 0), Fingerprint(i+1))
	}
	m.Down(t0, runAt("a", 0))
	is.Equal(len(m.Findings()), maxFindings)
}
