package explainer

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"pimentorelay.example/pimento"
)

const logText = `
no event
   0.1 edge-b {"@timestamp":"2026-02-02T18:00:09.000000Z","Event":4009,"Process":"b","Moves":"books 0-99 to u1 (Orphan); books 100-200 to u2 (Join)"}
{"@timestamp":"2026-02-02T18:00:09.500000Z","Event":2014,"Process":"a","Version":7}
{"@timestamp":"2026-02-02T18:00:09.900000Z","Event":5001,"Process":"b","Upstream":"u2"}
{"@timestamp":"2026-02-02T18:00:09.950000Z","Event":5001,"Process":"b","Upstream":"u9"}
{"@timestamp":"2026-02-02T18:00:09.960000Z","Event":4008,"Process":"b","Service":"others","Keys":"100-200","Upstream":"u9"}
{"@timestamp":"2026-02-02T18:00:10.300000Z","Event":6001,"Process":"a","Request":"x1","Service":"books","Key":150,"Reason":"Timeout","Tries":"u2 by b (3 of 4 slots) took 1s: Timeout"}
{"@timestamp":"2026-02-02T18:00:10.100000Z","Event":6004,"Process":"a","Request":"x1","Service":"books","Key":150,"Reason":"Refused"}
{"@timestamp":"2026-02-02T18:00:10.200000Z","Event":6003,"Process":"a","Request":"x2","Service":"books","Key":1}
{"@timestamp":"2026-02-02T18:00:11.000000Z","Event":5002,"Process":"b","Upstream":"u2"}
`

// TestExplain checks that a report has the steps of its request in order, and
// the latest known state of only what the request involved.
func TestExplain(t *testing.T) {
	is := is.New(t)
	var l Log
	is.NoErr(l.Read(strings.NewReader(logText)))
	is.Equal(l.Skipped, 2)
	_, ok := l.Explain("x9")
	is.True(!ok)
	r, ok := l.Explain("x1")
	is.True(ok)
	var numbers []pimento.EventNumber
	for _, x := range r.Steps {
		numbers = append(numbers, x.Number)
	}
	is.Equal(numbers, []pimento.EventNumber{pimento.EventRequestRepeated, pimento.EventRequestUnknown})
	numbers = nil
	for _, x := range r.KnownState {
		numbers = append(numbers, x.Number)
	}
	is.Equal(numbers, []pimento.EventNumber{pimento.EventKeysMoved, pimento.EventManifestAdopted, pimento.EventUpstreamLost})
	is.Equal(r.KnownState[2].Fields["Upstream"], "u2")

	var text strings.Builder
	r.Write(&text)
	is.True(strings.Contains(text.String(), "400ms  b  5001 upstream lost")) // age of the state at the end
	is.True(!strings.Contains(text.String(), "u9"))
}

// TestNamesAreWholeWords guards against upstreams in a report whose names begin like
// those that the request involved.
func TestNamesAreWholeWords(t *testing.T) {
	is := is.New(t)
	const text = `
{"@timestamp":"2026-02-02T18:00:09.000000Z","Event":5001,"Process":"b","Upstream":"u1"}
{"@timestamp":"2026-02-02T18:00:09.100000Z","Event":5001,"Process":"b","Upstream":"u12"}
{"@timestamp":"2026-02-02T18:00:10.000000Z","Event":6001,"Process":"a","Request":"x1","Service":"books","Tries":"u12 by b-1 (3 of 4 slots) took 1s: Timeout"}
`
	var l Log
	is.NoErr(l.Read(strings.NewReader(text)))
	r, ok := l.Explain("x1")
	is.True(ok)
	is.Equal(len(r.KnownState), 1)
	is.Equal(r.KnownState[0].Fields["Upstream"], "u12")
}

// TestLimitBehindRefusal guards against a request that was refused because of the limit
// of an upstream, and a report without that limit.
func TestLimitBehindRefusal(t *testing.T) {
	is := is.New(t)
	const text = `
{"@timestamp":"2026-02-02T18:00:09.000000Z","Event":5006,"Process":"b","Upstream":"u1","Rate":2.9}
{"@timestamp":"2026-02-02T18:00:09.100000Z","Event":5006,"Process":"b","Upstream":"u2","Rate":4}
{"@timestamp":"2026-02-02T18:00:10.000000Z","Event":6002,"Process":"a","Request":"x1","By":"b","Detail":"the holder of the key, u1, takes 2.9 requests a second","Reason":"Overloaded"}
`
	var l Log
	is.NoErr(l.Read(strings.NewReader(text)))
	r, ok := l.Explain("x1")
	is.True(ok)
	is.Equal(len(r.KnownState), 1)
	is.Equal(r.KnownState[0].Fields["Rate"], "2.9")
}

// TestPauseBehindRefusal guards against a request that was refused because its upstream
// leaves or wants nothing, and a report without that.
func TestPauseBehindRefusal(t *testing.T) {
	is := is.New(t)
	const text = `
{"@timestamp":"2026-02-02T18:00:08.000000Z","Event":5020,"Process":"a","Upstream":"u1"}
{"@timestamp":"2026-02-02T18:00:09.000000Z","Event":5021,"Process":"a","Upstream":"u1","For":"30s"}
{"@timestamp":"2026-02-02T18:00:09.100000Z","Event":5021,"Process":"a","Upstream":"u2","For":"40s"}
{"@timestamp":"2026-02-02T18:00:10.000000Z","Event":6002,"Process":"a","Request":"x1","By":"b","Detail":"the upstream u1 wants nothing from the process that asks for 29s","Reason":"Overloaded"}
`
	var l Log
	is.NoErr(l.Read(strings.NewReader(text)))
	r, ok := l.Explain("x1")
	is.True(ok)
	is.Equal(len(r.KnownState), 2)
	is.Equal(r.KnownState[0].Number, pimento.EventLeavingNamed)
	is.Equal(r.KnownState[1].Fields["For"], "30s")
}

// TestCustomerBehindRefusal guards against a request that was refused because of a quota or an
// API key, and a report without what was known of it.
func TestCustomerBehindRefusal(t *testing.T) {
	is := is.New(t)
	const text = `
{"@timestamp":"2026-02-02T18:00:08.000000Z","Event":7003,"Process":"l","Customer":"a","Rate":20,"Demand":80,"Manifest":7}
{"@timestamp":"2026-02-02T18:00:08.500000Z","Event":7003,"Process":"l","Customer":"b","Rate":10,"Demand":90,"Manifest":7}
{"@timestamp":"2026-02-02T18:00:08.600000Z","Event":7002,"Process":"a","Customer":"b","APIKey":"01020304","Manifest":8}
{"@timestamp":"2026-02-02T18:00:09.000000Z","Event":6002,"Process":"a","Request":"x1","Customer":"a","Reason":"Quota"}
{"@timestamp":"2026-02-02T18:00:10.000000Z","Event":6002,"Process":"a","Request":"x2","APIKey":"01020304","Reason":"Unauthorized"}
`
	var l Log
	is.NoErr(l.Read(strings.NewReader(text)))
	r, ok := l.Explain("x1")
	is.True(ok)
	is.Equal(len(r.KnownState), 1)
	is.Equal(r.KnownState[0].Fields["Demand"], "80")
	r, ok = l.Explain("x2")
	is.True(ok)
	is.Equal(len(r.KnownState), 1)
	is.Equal(r.KnownState[0].Fields["Customer"], "b")
}
