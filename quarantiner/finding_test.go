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
	for _, c := range []struct {
		name string
		run  func(m *Machine)
		want []Finding
	}{
		{"counted", func(m *Machine) {
			m.ConnectionBroke(t0, "a", bad)
			m.Down(t0.Add(time.Second), "a")
		}, []Finding{{Kind: FindingCounted, Fingerprint: bad, Upstream: "a", Count: 1, Evidence: EvidenceDown, After: time.Second}}},
		{"found late", func(m *Machine) {
			m.ConnectionBroke(t0, "a", bad)
			m.Restarted(t0.Add(confirmWindow+1), "a")
		}, []Finding{{Kind: FindingDropped, Fingerprint: bad, Upstream: "a", Evidence: EvidenceLate, After: confirmWindow + 1}}},
		{"upstream answers", func(m *Machine) {
			m.ConnectionBroke(t0, "a", bad)
			m.Answered("a", t0.Add(1), 2)
		}, []Finding{{Kind: FindingDropped, Fingerprint: bad, Upstream: "a", Evidence: EvidenceAnswered}}},
		{"told by another process, twice", func(m *Machine) {
			m.BlockReported(t0, bad)
			m.BlockReported(t0, bad)
		}, []Finding{{Kind: FindingRefused, Fingerprint: bad, Evidence: EvidenceReport}}},
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
		m.BlockReported(t0, Fingerprint(i+1))
	}
	is.Equal(len(m.Findings()), maxFindings)
}
