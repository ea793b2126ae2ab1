// Package parser reads the operators' sheet, a CSV file (RFC 4180), into a
// configuration, and tells what would change.
//
// The first row names the columns, in any order:
//
//	Kind         Category, Service, Domain, Host or Upstream
//	Name         of the thing; a category's name is any text
//	Service      of a category or an upstream
//	Domain       of a host
//	Host         of an upstream
//	Address      of an upstream, an IP number with a port
//	Sharing      of a service: Keyed or Unkeyed
//	Fencing      of a service: Checked or Unchecked
//	Slots        of an upstream, 1 to 1024
//	Connections  of an upstream, 1 to 65535
//	State        of a domain: In or Out; of a host: Arriving or Leaving
//
// A cell that does not belong to its row's kind must be empty.
//
// # Usage
//
//	config, err := parser.Parse(file)
//	for _, change := range parser.Diff(old, config) { fmt.Println(change) }
//
// An error is a *pimento.ValidationError with every fault of the sheet.
package parser

import (
	"encoding/csv"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"slices"
	"strconv"
	"strings"

	"pimentorelay.example/pimento"
)

const (
	// MaxSize is the largest sheet in bytes.
	MaxSize        = 4 << 20
	maxSlots       = 1024
	maxConnections = 65535
	maxNameLength  = 256
)

// Kind says what a row describes.
type Kind string

// The kinds.
const (
	KindCategory Kind = "Category"
	KindService  Kind = "Service"
	KindDomain   Kind = "Domain"
	KindHost     Kind = "Host"
	KindUpstream Kind = "Upstream"
)

const (
	columnKind        = "Kind"
	columnName        = "Name"
	columnService     = "Service"
	columnDomain      = "Domain"
	columnHost        = "Host"
	columnAddress     = "Address"
	columnSharing     = "Sharing"
	columnFencing     = "Fencing"
	columnSlots       = "Slots"
	columnConnections = "Connections"
	columnState       = "State"
)

// columns are the known columns.
var columns = []string{
	columnKind, columnName, columnService, columnDomain, columnHost, columnAddress,
	columnSharing, columnFencing, columnSlots, columnConnections, columnState,
}

// cells are the columns that a kind uses besides Kind and Name.
var cells = map[Kind][]string{
	KindCategory: {columnService},
	KindService:  {columnSharing, columnFencing},
	KindDomain:   {columnState},
	KindHost:     {columnDomain, columnState},
	KindUpstream: {columnService, columnHost, columnAddress, columnSlots, columnConnections},
}

// sheet is a sheet that is being read.
type sheet struct {
	faults  *pimento.ValidationError
	place   map[string]int // of a column in the file, from zero
	config  pimento.Config
	defined map[Kind]map[string]int // row of each name
	pending []reference
}

// reference is a cell that names something which may stand further down.
type reference struct {
	row    int
	column string
	kind   Kind
	name   string
}

// row is one row with its number, from one.
type row struct {
	s      *sheet
	number int
	fields []string
}

// Parse reads a sheet.
func Parse(r io.Reader) (pimento.Config, error) {
	s := &sheet{
		faults:  &pimento.ValidationError{Subject: "sheet"},
		defined: make(map[Kind]map[string]int),
	}
	limited := &io.LimitedReader{R: r, N: MaxSize + 1}
	reader := csv.NewReader(limited)
	reader.FieldsPerRecord = -1
	if !s.readHead(reader) {
		return pimento.Config{}, s.faults.Err()
	}
	s.readRows(reader)
	if limited.N <= 0 {
		s.faults.Add("Size", "more", fmt.Sprintf("at most %d bytes", MaxSize))
	}
	s.resolve()
	if err := s.faults.Err(); err != nil {
		return pimento.Config{}, err
	}
	if err := s.config.Validate(); err != nil {
		return pimento.Config{}, err
	}
	return s.config, nil
}

func (s *sheet) readHead(reader *csv.Reader) bool {
	head, err := reader.Read()
	if err != nil {
		s.syntax(err)
		return false
	}
	s.place = make(map[string]int)
	for i, name := range head {
		name = strings.TrimSpace(strings.TrimPrefix(name, "\ufeff"))
		_, twice := s.place[name]
		if twice || !slices.Contains(columns, name) {
			s.faults.AddAt(1, i+1, "column", name, "one of "+strings.Join(columns, ", ")+", each once")
		}
		s.place[name] = i
	}
	for _, name := range columns {
		if _, ok := s.place[name]; !ok {
			s.faults.AddAt(1, len(head)+1, "column", "", "a column named "+name)
		}
	}
	return len(s.faults.Faults) == 0
}

func (s *sheet) readRows(reader *csv.Reader) {
	for {
		fields, err := reader.Read()
		if err == io.EOF {
			return
		}
		if err != nil {
			s.syntax(err)
			return
		}
		line, _ := reader.FieldPos(0)
		if slices.ContainsFunc(fields, func(f string) bool { return strings.TrimSpace(f) != "" }) {
			s.readRow(&row{s: s, number: line, fields: fields})
		}
	}
}

// syntax records what the CSV reader could not read.
func (s *sheet) syntax(err error) {
	var p *csv.ParseError
	if errors.As(err, &p) {
		s.faults.AddAt(p.Line, p.Column, "syntax", p.Err.Error(), "a row of comma-separated values")
		return
	}
	s.faults.Add("Sheet", err.Error(), "a file with a row of column names")
}

// cell returns a cell without surrounding space.
func (r *row) cell(column string) string {
	i := r.s.place[column]
	if i >= len(r.fields) {
		return ""
	}
	return strings.TrimSpace(r.fields[i])
}

func (r *row) fault(column, allowed string) {
	r.s.faults.AddAt(r.number, r.s.place[column]+1, column, r.cell(column), allowed)
}

func (s *sheet) readRow(r *row) {
	kind := Kind(r.cell(columnKind))
	used, ok := cells[kind]
	if !ok {
		r.fault(columnKind, "Category, Service, Domain, Host or Upstream")
		return
	}
	for _, c := range columns[2:] {
		if !slices.Contains(used, c) && r.cell(c) != "" {
			r.fault(c, fmt.Sprintf("an empty cell in a row of kind %s", kind))
		}
	}
	if len(r.fields) > len(s.place) {
		s.faults.AddAt(r.number, len(s.place)+1, "row", r.fields[len(s.place)], "no cell beyond the columns")
	}
	s.define(r, kind)
	switch kind {
	case KindCategory:
		s.config.Categories = append(s.config.Categories, pimento.Category{
			Name: pimento.CategoryName(r.cell(columnName)), Service: pimento.ServiceName(r.refer(columnService, KindService)),
		})
	case KindService:
		s.config.Services = append(s.config.Services, pimento.Service{
			Name:    pimento.ServiceName(r.cell(columnName)),
			Sharing: choice(r, columnSharing, pimento.SharingKeyed, pimento.SharingUnkeyed),
			Fencing: choice(r, columnFencing, pimento.FencingChecked, pimento.FencingUnchecked),
		})
	case KindDomain:
		s.config.Domains = append(s.config.Domains, pimento.Domain{
			Name: pimento.DomainName(r.cell(columnName)), State: choice(r, columnState, pimento.StateIn, pimento.StateOut),
		})
	case KindHost:
		s.config.Hosts = append(s.config.Hosts, pimento.Host{
			Name: pimento.HostName(r.cell(columnName)), Domain: pimento.DomainName(r.refer(columnDomain, KindDomain)),
			State: choice(r, columnState, pimento.StateArriving, pimento.StateLeaving),
		})
	case KindUpstream:
		s.config.Servers = append(s.config.Servers, r.server())
	}
}

func (r *row) server() pimento.Server {
	address, err := netip.ParseAddrPort(r.cell(columnAddress))
	if err != nil || address.Port() == 0 {
		r.fault(columnAddress, "an IP number with a port, such as 192.0.2.7:8080")
	}
	return pimento.Server{
		Name:        pimento.UpstreamName(r.cell(columnName)),
		Service:     pimento.ServiceName(r.refer(columnService, KindService)),
		Host:        pimento.HostName(r.refer(columnHost, KindHost)),
		Address:     address,
		Slots:       r.number1(columnSlots, maxSlots),
		Connections: r.number1(columnConnections, maxConnections),
	}
}

// number1 reads a whole number from one to limit.
func (r *row) number1(column string, limit int) int {
	n, err := strconv.Atoi(r.cell(column))
	if err != nil || n < 1 || n > limit {
		r.fault(column, fmt.Sprintf("a whole number from 1 to %d", limit))
	}
	return n
}

// choice reads a cell that must hold one of a few words.
func choice[T ~string](r *row, column string, allowed ...T) T {
	v := T(r.cell(column))
	if !slices.Contains(allowed, v) {
		words := make([]string, len(allowed))
		for i, a := range allowed {
			words[i] = string(a)
		}
		r.fault(column, strings.Join(words, " or "))
	}
	return v
}

// refer reads a cell that names something of another kind.
func (r *row) refer(column string, kind Kind) string {
	name := r.cell(column)
	r.s.pending = append(r.s.pending, reference{row: r.number, column: column, kind: kind, name: name})
	return name
}

// define notes the name of a row.
func (s *sheet) define(r *row, kind Kind) {
	name := r.cell(columnName)
	if name == "" || len(name) > maxNameLength {
		r.fault(columnName, fmt.Sprintf("a name of 1 to %d bytes", maxNameLength))
		return
	}
	if s.defined[kind] == nil {
		s.defined[kind] = make(map[string]int)
	}
	if first, twice := s.defined[kind][name]; twice {
		r.fault(columnName, fmt.Sprintf("a name that stands once; row %d has it already", first))
		return
	}
	s.defined[kind][name] = r.number
}

// resolve looks for names that nothing defines.
func (s *sheet) resolve() {
	for _, ref := range s.pending {
		if _, ok := s.defined[ref.kind][ref.name]; !ok {
			s.faults.AddAt(ref.row, s.place[ref.column]+1, ref.column, ref.name, fmt.Sprintf("the name of a row of kind %s", ref.kind))
		}
	}
	slices.SortStableFunc(s.faults.Faults, func(a, b pimento.FieldFault) int {
		if a.Row != b.Row {
			return a.Row - b.Row
		}
		return a.Column - b.Column
	})
}
