package encoder

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"pimentorelay.example/pimento"
)

func TestRoundTrip(t *testing.T) {
	is := is.New(t)
	in := pimento.ConfirmAsk{
		Stamp: pimento.Stamp{Wall: time.Unix(1_700_000_000, 5).UTC(), Counter: 3}, From: "p", Epoch: 7,
		Lost: []pimento.UpstreamName{"u"}, Reports: []pimento.UpstreamReport{{Upstream: "u", Limit: 4}},
	}
	data, err := Marshal(in)
	is.NoErr(err)
	is.True(strings.Contains(string(data), "Epoch")) // names as the fields
	var out pimento.ConfirmAsk
	is.NoErr(Unmarshal(data, &out))
	is.Equal(out, in)
}

func TestHostileBytes(t *testing.T) {
	cases := map[string]string{
		"indefinite length": "\x9f\x01\xff",
		"deep nesting":      strings.Repeat("\x81", 40) + "\x01",
		"key twice":         "\xa2\x65Epoch\x01\x65Epoch\x02",
		"tag":               "\xc1\x01",
		"cut off":           "\xa1\x65Ep",
		"huge array":        "\x9a\xff\xff\xff\xff",
	}
	for name, data := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var out pimento.ConfirmAsk
			is.True(Unmarshal([]byte(data), &out) != nil)
		})
	}
}

// BenchmarkAsk is the cost and size of a heartbeat with so many reports.
func BenchmarkAsk(b *testing.B) {
	for _, n := range []int{0, 10, 100} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			ask := pimento.ConfirmAsk{From: "entry-1.2qx9d1c0j7s", Epoch: 12345, Stamp: pimento.Stamp{Wall: time.Now()}}
			for i := range n {
				ask.Reports = append(ask.Reports, pimento.UpstreamReport{Upstream: pimento.UpstreamName(fmt.Sprintf("guidebook-%d", i)), Condition: pimento.ConditionReady, Rate: 12.5, Limit: 4, Boot: "2qx9d1c0j7s"})
			}
			var size int
			for b.Loop() {
				data, err := Marshal(ask)
				if err != nil {
					b.Fatal(err)
				}
				var out pimento.ConfirmAsk
				if err := Unmarshal(data, &out); err != nil {
					b.Fatal(err)
				}
				size = len(data)
			}
			b.ReportMetric(float64(size), "bytes/ask")
		})
	}
}
