package pimento

import (
	"encoding/json"
	"reflect"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestFieldNamesInJSON checks that the fields of stored and reported values keep
// their names in JSON. A process could not read what an older one has written if
// a field were renamed without a tag.
func TestFieldNamesInJSON(t *testing.T) {
	started := time.Date(2026, 12, 4, 10, 0, 0, 0, time.UTC)
	for _, c := range []struct {
		name  string
		text  string
		value any
	}{
		{
			"assignment",
			`{"Term":{"Epoch":7,"Leader":"a","Confirmers":["a","b"],"Prior":[["a"]]},` +
				`"Members":[],` +
				`"Pools":[{"Service":"s","Index":1,"Line":["a","b"],"Round":5,"Near":[3,4]}],` +
				`"Tables":[{"Service":"s","Holdings":[{"From":0,"To":65535,"Fence":8,` +
				`"Holder":{"Upstream":"u","Started":"2026-12-04T10:00:00Z"},` +
				`"Former":{"Upstream":"","Started":"0001-01-01T00:00:00Z"}}]}],` +
				`"NextFence":9,"Write":"a-1"}`,
			Assignment{
				Term:    Term{Epoch: 7, Leader: "a", Confirmers: []ProcessID{"a", "b"}, Prior: [][]ProcessID{{"a"}}},
				Members: []Member{},
				Pools: []Pool{{
					Service: "s", Index: 1, PreferenceList: []ProcessID{"a", "b"}, Generation: 5, NearSince: [2]uint64{3, 4},
				}},
				Tables: []Table{{Service: "s", Holdings: []Holding{{
					KeyRange: AllKeys, Fence: 8, Holder: Run{Upstream: "u", Started: started},
				}}}},
				NextFence: 9,
				WriteID:   "a-1",
			},
		},
		{
			"upstream report",
			`{"Upstream":"u","Service":"s","Usable":true,"Cold":true,"Slow":1.5,"Failing":0.25,` +
				`"Running":3,"Slots":4,"Bears":12.5}`,
			UpstreamReport{
				Upstream: "u", Service: "s", Usable: true, Cold: true, Slowness: 1.5, FailureRate: 0.25,
				Running: 3, Slots: 4, Capacity: 12.5,
			},
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			decoded := reflect.New(reflect.TypeOf(c.value))
			is.NoErr(json.Unmarshal([]byte(c.text), decoded.Interface()))
			is.Equal(decoded.Elem().Interface(), c.value)
			encoded, err := json.Marshal(c.value)
			is.NoErr(err)
			is.Equal(string(encoded), c.text)
		})
	}
}
