package parser

import (
	"errors"
	"strings"
	"testing"

	"github.com/matryer/is"

	"pimentorelay.example/pimento"
	"pimentorelay.example/pimento/examples"
)

const head = "Kind,Name,Service,Domain,Host,Address,Sharing,Fencing,Slots,Connections,State\n"

const sound = head +
	"Category,\"TIMEOUT 504, \"\"лаг\"\"\",guidebook,,,,,,,,\n" +
	"Service,guidebook,,,,,Keyed,Checked,,,\n" +
	"Domain,d1,,,,,,,,,In\n" +
	"Host,h1,,d1,,,,,,,Arriving\n" +
	"Upstream,g1,guidebook,,h1,127.0.0.1:2000,,,4,100,\n"

func TestExamplesAreSound(t *testing.T) {
	for name, want := range map[string]int{examples.Ulaanbaatar: 33, examples.Nairobi: 28} {
		is := is.New(t)
		config, err := Parse(strings.NewReader(name))
		is.NoErr(err)
		is.Equal(len(config.Servers), want)
	}
}

func TestCategoryIsOpaque(t *testing.T) {
	is := is.New(t)
	config, err := Parse(strings.NewReader(sound))
	is.NoErr(err)
	is.Equal(config.Categories[0].Name, pimento.CategoryName(`TIMEOUT 504, "лаг"`))
}

func TestFaultySheets(t *testing.T) {
	cases := []struct {
		name   string
		sheet  string
		row    int
		column int
		value  string
	}{
		{"unknown kind", sound + "Zone,z,,,,,,,,,\n", 7, 1, "Zone"},
		{"unknown service", sound + "Category,x,nothing,,,,,,,,\n", 7, 3, "nothing"},
		{"unknown domain", sound + "Host,h2,,dx,,,,,,,Arriving\n", 7, 4, "dx"},
		{"unknown host", sound + "Upstream,g2,guidebook,,hx,127.0.0.1:2001,,,4,1,\n", 7, 5, "hx"},
		{"name instead of a number", sound + "Upstream,g2,guidebook,,h1,localhost:80,,,4,1,\n", 7, 6, "localhost:80"},
		{"no slots", sound + "Upstream,g2,guidebook,,h1,127.0.0.1:2001,,,0,1,\n", 7, 9, "0"},
		{"state of another kind", sound + "Domain,d2,,,,,,,,,Leaving\n", 7, 11, "Leaving"},
		{"cell of another kind", sound + "Domain,d2,guidebook,,,,,,,,In\n", 7, 3, "guidebook"},
		{"name twice", sound + "Domain,d1,,,,,,,,,Out\n", 7, 2, "d1"},
		{"no name", sound + "Domain,,,,,,,,,,In\n", 7, 2, ""},
		{"missing column", "Kind,Name\n", 1, 3, ""},
		{"open quote", sound + "Domain,\"d2,,,,,,,,,In\n", 7, 23, `extraneous or missing " in quoted-field`},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			_, err := Parse(strings.NewReader(c.sheet))
			var v *pimento.ValidationError
			is.True(errors.As(err, &v))
			f := v.Faults[0]
			is.Equal(f.Row, c.row)
			is.Equal(f.Column, c.column)
			is.Equal(f.Value, c.value)
		})
	}
}

func TestAllFaultsAreNamed(t *testing.T) {
	is := is.New(t)
	_, err := Parse(strings.NewReader(sound + "Zone,z,,,,,,,,,\nDomain,d1,,,,,,,,,Up\n"))
	var v *pimento.ValidationError
	is.True(errors.As(err, &v))
	is.Equal(len(v.Faults), 3)
}

func TestDiff(t *testing.T) {
	is := is.New(t)
	before, err := Parse(strings.NewReader(sound))
	is.NoErr(err)
	after, err := Parse(strings.NewReader(strings.Replace(sound, ",In\n", ",Out\n", 1) + "Domain,d2,,,,,,,,,In\n"))
	is.NoErr(err)
	is.Equal(Diff(before, before), nil)
	is.Equal(Diff(before, after), []Change{
		{Change: ChangeAltered, Kind: KindDomain, Name: "d1", Before: "In", After: "Out"},
		{Change: ChangeAdded, Kind: KindDomain, Name: "d2", After: "In"},
	})
	is.Equal(Diff(after, before)[1].Change, ChangeRemoved)
}

func FuzzParse(f *testing.F) {
	f.Add(sound)
	f.Add(head + "Domain,\"d2,,,,,,,,,In\n")
	f.Fuzz(func(t *testing.T, sheet string) {
		config, err := Parse(strings.NewReader(sheet))
		if err == nil && config.Validate() != nil {
			t.Errorf("accepted a configuration that is not valid: %v", config.Validate())
		}
	})
}
