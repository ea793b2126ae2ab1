package parser

import (
	"errors"
	"strings"
	"testing"

	"github.com/matryer/is"

	"pimentorelay.example/pimento"
	"pimentorelay.example/pimento/examples"
)

const headerRow = "Kind,Name,Service,Domain,Host,Address,Sharing,Fencing,Slots,Connections,State\n"

const validSheet = headerRow +
	"Category,\"TIMEOUT 504, \"\"лаг\"\"\",guidebook,,,,,,,,\n" +
	"Service,guidebook,,,,,Keyed,Checked,,,\n" +
	"Domain,d1,,,,,,,,,In\n" +
	"Host,h1,,d1,,,,,,,Arriving\n" +
	"Upstream,g1,guidebook,,h1,127.0.0.1:2000,,,4,100,\n"

func TestExamplesAreValid(t *testing.T) {
	for sheet, want := range map[string]int{examples.Ulaanbaatar: 33, examples.Nairobi: 28} {
		is := is.New(t)
		config, err := Parse(strings.NewReader(sheet))
		is.NoErr(err)
		is.Equal(len(config.Servers), want)
	}
}

func TestCategoryIsOpaque(t *testing.T) {
	is := is.New(t)
	config, err := Parse(strings.NewReader(validSheet))
	is.NoErr(err)
	is.Equal(config.Categories[0].Name, pimento.CategoryName(`TIMEOUT 504, "лаг"`))
}

func TestInvalidSheets(t *testing.T) {
	cases := []struct {
		name   string
		sheet  string
		row    int
		column int
		value  string
	}{
		{"unknown kind", validSheet + "Zone,z,,,,,,,,,\n", 7, 1, "Zone"},
		{"unknown service", validSheet + "Category,x,nothing,,,,,,,,\n", 7, 3, "nothing"},
		{"unknown domain", validSheet + "Host,h2,,dx,,,,,,,Arriving\n", 7, 4, "dx"},
		{"unknown host", validSheet + "Upstream,g2,guidebook,,hx,127.0.0.1:2001,,,4,1,\n", 7, 5, "hx"},
		{"name instead of a number", validSheet + "Upstream,g2,guidebook,,h1,localhost:80,,,4,1,\n", 7, 6, "localhost:80"},
		{"no slots", validSheet + "Upstream,g2,guidebook,,h1,127.0.0.1:2001,,,0,1,\n", 7, 9, "0"},
		{"state of another kind", validSheet + "Domain,d2,,,,,,,,,Leaving\n", 7, 11, "Leaving"},
		{"cell of another kind", validSheet + "Domain,d2,guidebook,,,,,,,,In\n", 7, 3, "guidebook"},
		{"name twice", validSheet + "Domain,d1,,,,,,,,,Out\n", 7, 2, "d1"},
		{"no name", validSheet + "Domain,,,,,,,,,,In\n", 7, 2, ""},
		{"missing column", "Kind,Name\n", 1, 3, ""},
		{"open quote", validSheet + "Domain,\"d2,,,,,,,,,In\n", 7, 23, `extraneous or missing " in quoted-field`},
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

func TestAllFaultsAreReported(t *testing.T) {
	is := is.New(t)
	_, err := Parse(strings.NewReader(validSheet + "Zone,z,,,,,,,,,\nDomain,d1,,,,,,,,,Up\n"))
	var v *pimento.ValidationError
	is.True(errors.As(err, &v))
	is.Equal(len(v.Faults), 3)
}

func TestDiff(t *testing.T) {
	is := is.New(t)
	before, err := Parse(strings.NewReader(validSheet))
	is.NoErr(err)
	after, err := Parse(strings.NewReader(strings.Replace(validSheet, ",In\n", ",Out\n", 1) + "Domain,d2,,,,,,,,,In\n"))
	is.NoErr(err)
	is.Equal(Diff(before, before), nil)
	is.Equal(Diff(before, after), []Change{
		{Change: ChangeAltered, Kind: KindDomain, Name: "d1", Before: "In", After: "Out"},
		{Change: ChangeAdded, Kind: KindDomain, Name: "d2", After: "In"},
	})
	is.Equal(Diff(after, before)[1].Change, ChangeRemoved)
}

func FuzzParse(f *testing.F) {
	f.Add(validSheet)
	f.Add(headerRow + "Domain,\"d2,,,,,,,,,In\n")
	f.Fuzz(func(t *testing.T, sheet string) {
		config, err := Parse(strings.NewReader(sheet))
		if err == nil && config.Validate() != nil {
			t.Errorf("Parse accepted an invalid configuration: %v", config.Validate())
		}
	})
}

// TestFaultsHideKeys guards against an API key in the text of a fault, wherever a mistake has
// put it.
func TestFaultsHideKeys(t *testing.T) {
	const header = "Kind,Name,Service,Domain,Host,Address,Sharing,Fencing,Slots,Connections,State,Keys,Rate,Burst,Priority\n"
	cases := []struct{ name, row string }{
		{"row of another kind", "Domain,d1,,,,,,,,,In,sk-1,,,\n"},
		{"commas without quotes", "Customer,a,,,,,,,,,,k1,sk-1,,\n"},
		{"cell beyond the columns", "Customer,a,,,,,,,,,,k1,1,1,1,sk-1\n"},
		{"column of another kind", "Customer,a,sk-1,,,,,,,,,,1,1,1\n"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			_, err := Parse(strings.NewReader(header + c.row))
			is.True(err != nil)
			is.True(!strings.Contains(err.Error(), "sk-1"))
			is.True(strings.Contains(err.Error(), hidden))
		})
	}
}
