package explainer

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"pimentorelay.example/pimento"
)

const manifestLogText = `
{"@timestamp":"2026-02-02T18:00:08.000000Z","Event":1003,"Process":"gone"}
{"@timestamp":"2026-02-02T18:00:09.000000Z","Event":2014,"Process":"a","Version":7,"From":"Store","Revision":31}
{"@timestamp":"2026-02-02T18:00:09.300000Z","Event":2014,"Process":"b","Version":7,"From":"a"}
{"@timestamp":"2026-02-02T18:00:09.700000Z","Event":2018,"Process":"a","Member":"c","Manifest":7,"Bytes":2000,"Cause":"timeout"}
{"@timestamp":"2026-02-02T18:00:09.350000Z","Event":2019,"Process":"b","Version":7,"Request":"x1"}
{"@timestamp":"2026-02-02T18:00:09.500000Z","Event":2014,"Process":"d","Version":9,"From":"Store","Revision":35}
{"@timestamp":"2026-02-02T18:00:10.100000Z","Event":2017,"Process":"a","Version":7,"Lacking":"c has 4, missed 2 heartbeats"}
{"@timestamp":"2026-02-02T18:00:11.000000Z","Event":6003,"Process":"c","Request":"x2","Manifest":4}
`

// TestExplainManifest checks that a version is followed through all processes,
// also those that skipped it or never had it.
func TestExplainManifest(t *testing.T) {
	is := is.New(t)
	var l Log
	is.NoErr(l.Read(strings.NewReader(manifestLogText)))
	_, ok := l.ExplainManifest(8)
	is.True(!ok)
	r, ok := l.ExplainManifest(7)
	is.True(ok)
	is.Equal(len(r.Steps), 5)
	is.Equal(r.Steps[2].Number, pimento.EventManifestUsed)
	is.Equal(len(r.InForce), 2)
	is.Equal(r.Newer, []pimento.ProcessID{"d"})
	is.Equal(r.Without, []pimento.ProcessID{"c"}) // "gone" ended before

	var text strings.Builder
	r.Write(&text)
	is.True(strings.Contains(text.String(), "+700ms  a  2018 a member has not confirmed a state"))
	is.True(strings.Contains(text.String(), "in force in 2 processes, half of them after 300ms, all after 300ms"))
}
