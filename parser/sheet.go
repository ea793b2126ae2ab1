// Package parser reads the operators' sheet, a CSV file (RFC 4180), into a
// configuration, and lists the changes between two configurations.
//
// The first row names the columns, in any order:
//
//	Kind         Category, Service, Domain, Host, Upstream or Customer
//	Name         of the entry; a category's name is any text
//	Service      of a category or an upstream
//	Domain       of a host
//	Host         of an upstream
//	Address      of an upstream, an IP address with a port
//	Sharing      of a service: Keyed or Unkeyed
//	Fencing      of a service: Checked or Unchecked
//	Slots        of an upstream, 1 to 1024
//	Connections  of an upstream, 1 to 65535
//	State        of a domain: In or Out; of a host: Arriving or Leaving
//
// A sheet without customers may lack these columns:
//
//	Access       of a category: Public, or empty if callers need an API key
//	Keys         of a customer: its API keys, separated by spaces
//	Rate         of a customer: its quota in requests a second; empty: none
//	Burst        of a customer: how many requests beyond Rate may come at once
//	Priority     of a customer: a whole number, lower ones are more urgent
//
// A cell that does not belong to its row's kind must be empty.
//
// # Usage
//
//	config, err := parser.Parse(file)
//	for _, change := range parser.Diff(old, config) { fmt.Println(change) }
//
// An error is a *pimento.ValidationError with all faults that were found. Reading
// ends at a faulty header row or a CSV syntax error.
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
	// MaxSheetBytes is the size of the largest accepted sheet.
	MaxSheetBytes  = 4 << 20
	maxSlots       = 1024
	maxConnections = 65535
	maxNameBytes   = 256
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
	KindCustomer Kind = "Customer"
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
	columnAccess      = "Access"
	columnKeys        = "Keys"
	columnRate        = "Rate"
	columnBurst       = "Burst"
	columnPriority    = "Priority"
)

var columns = []string{
	columnKind, columnName, columnService, columnDomain, columnHost, columnAddress,
	columnSharing, columnFencing, columnSlots, columnConnections, columnState,
}

// optionalColumns are those that a sheet without customers may lack.
var optionalColumns = []string{columnAccess, columnKeys, columnRate, columnBurst, columnPriority}

// allColumns are the columns that a sheet may have.
var allColumns = slices.Concat(columns, optionalColumns)

// kindColumns lists the columns that a kind uses besides Kind and Name.
var kindColumns = map[Kind][]string{
	KindCategory: {columnService, columnAccess},
	KindService:  {columnSharing, columnFencing},
	KindDomain:   {columnState},
	KindHost:     {columnDomain, columnState},
	KindUpstream: {columnService, columnHost, columnAddress, columnSlots, columnConnections},
	KindCustomer: {columnKeys, columnRate, columnBurst, columnPriority},
}

// sheet is the state of a sheet that is being read.
type sheet struct {
	faults      *pimento.ValidationError
	columnIndex map[string]int // by column name, from zero
	config      pimento.Config
	rowOfName   map[Kind]map[string]int // row that defines each name
	references  []reference
}

// reference is a cell with the name of another row, which may come later.
type reference struct {
	row    int
	column string
	kind   Kind
	name   string
}

// row is one row with the number of its first line, from one.
type row struct {
	sheet  *sheet
	number int
	fields []string
}

// Parse reads and validates a sheet.
func Parse(r io.Reader) (pimento.Config, error) {
	s := &sheet{
		faults:    &pimento.ValidationError{Subject: "sheet"},
		rowOfName: make(map[Kind]map[string]int),
	}
	limited := &io.LimitedReader{R: r, N: MaxSheetBytes + 1}
	reader := csv.NewReader(limited)
	reader.FieldsPerRecord = -1
	if !s.readHeader(reader) {
		return pimento.Config{}, s.faults.Err()
	}
	s.readRows(reader)
	if limited.N <= 0 {
		s.faults.Add("Size", "more", fmt.Sprintf("at most %d bytes", MaxSheetBytes))
	}
	s.checkReferences()
	if err := s.faults.Err(); err != nil {
		return pimento.Config{}, err
	}
	if err := s.config.Validate(); err != nil {
		return pimento.Config{}, err
	}
	return s.config, nil
}

func (s *sheet) readHeader(reader *csv.Reader) bool {
	header, err := reader.Read()
	if err != nil {
		s.addSyntaxFault(err)
		return false
	}
	s.columnIndex = make(map[string]int)
	for i, name := range header {
		name = strings.TrimSpace(strings.TrimPrefix(name, "\ufeff"))
		_, duplicate := s.columnIndex[name]
		if duplicate || !slices.Contains(allColumns, name) {
			s.faults.AddAt(1, i+1, "column", name, "one of "+strings.Join(allColumns, ", ")+", each once")
		}
		s.columnIndex[name] = i
	}
	for _, name := range columns {
		if _, ok := s.columnIndex[name]; !ok {
			s.faults.AddAt(1, len(header)+1, "column", "", "a column named "+name)
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
			s.addSyntaxFault(err)
			return
		}
		line, _ := reader.FieldPos(0)
		if slices.ContainsFunc(fields, func(f string) bool { return strings.TrimSpace(f) != "" }) {
			s.readRow(&row{sheet: s, number: line, fields: fields})
		}
	}
}

// addSyntaxFault records an error of the CSV reader.
func (s *sheet) addSyntaxFault(err error) {
	var p *csv.ParseError
	if errors.As(err, &p) {
		s.faults.AddAt(p.Line, p.Column, "syntax", p.Err.Error(), "a row of comma-separated values")
		return
	}
	s.faults.Add("Sheet", err.Error(), "a file with a row of column names")
}

// cell returns a cell without surrounding space, empty if the row has none.
func (r *row) cell(column string) string {
	i, ok := r.sheet.columnIndex[column]
	if !ok || i >= len(r.fields) {
		return ""
	}
	return strings.TrimSpace(r.fields[i])
}

func (r *row) addFault(column, allowed string) {
	value := r.cell(column)
	if column != columnName && r.mayBeKey(column) {
		value = hidden
	}
	r.sheet.faults.AddAt(r.number, r.sheet.columnIndex[column]+1, column, value, allowed)
}

func (s *sheet) readRow(r *row) {
	kind := Kind(r.cell(columnKind))
	allowed, ok := kindColumns[kind]
	if !ok {
		r.addFault(columnKind, "Category, Service, Domain, Host, Upstream or Customer")
		return
	}
	for _, c := range allColumns[2:] {
		if !slices.Contains(allowed, c) && r.cell(c) != "" {
			r.addFault(c, fmt.Sprintf("an empty cell in a row of kind %s", kind))
		}
	}
	if len(r.fields) > len(s.columnIndex) {
		value := r.fields[len(s.columnIndex)]
		if r.mayBeKey("") {
			value = hidden
		}
		s.faults.AddAt(r.number, len(s.columnIndex)+1, "row", value, "no cell beyond the columns")
	}
	s.defineName(r, kind)
	switch kind {
	case KindCategory:
		s.config.Categories = append(s.config.Categories, pimento.Category{
			Name: pimento.CategoryName(r.cell(columnName)), Service: pimento.ServiceName(r.referenceCell(columnService, KindService)),
			Public: r.publicCell(),
		})
	case KindService:
		s.config.Services = append(s.config.Services, pimento.Service{
			Name:    pimento.ServiceName(r.cell(columnName)),
			Sharing: enumCell(r, columnSharing, pimento.SharingKeyed, pimento.SharingUnkeyed),
			Fencing: enumCell(r, columnFencing, pimento.FencingChecked, pimento.FencingUnchecked),
		})
	case KindDomain:
		s.config.Domains = append(s.config.Domains, pimento.Domain{
			Name: pimento.DomainName(r.cell(columnName)), State: enumCell(r, columnState, pimento.StateIn, pimento.StateOut),
		})
	case KindHost:
		s.config.Hosts = append(s.config.Hosts, pimento.Host{
			Name: pimento.HostName(r.cell(columnName)), Domain: pimento.DomainName(r.referenceCell(columnDomain, KindDomain)),
			State: enumCell(r, columnState, pimento.StateArriving, pimento.StateLeaving),
		})
	case KindCustomer:
		s.config.Customers = append(s.config.Customers, r.customer())
	case KindUpstream:
		s.config.Servers = append(s.config.Servers, r.server())
	}
}

func (r *row) server() pimento.Server {
	address, err := netip.ParseAddrPort(r.cell(columnAddress))
	if err != nil || address.Port() == 0 {
		r.addFault(columnAddress, "an IP address with a port, such as 192.0.2.7:8080")
	}
	return pimento.Server{
		Name:        pimento.UpstreamName(r.cell(columnName)),
		Service:     pimento.ServiceName(r.referenceCell(columnService, KindService)),
		Host:        pimento.HostName(r.referenceCell(columnHost, KindHost)),
		Address:     address,
		Slots:       r.positiveInt(columnSlots, maxSlots),
		Connections: r.positiveInt(columnConnections, maxConnections),
	}
}

// positiveInt reads a whole number from one to limit.
func (r *row) positiveInt(column string, limit int) int {
	n, err := strconv.Atoi(r.cell(column))
	if err != nil || n < 1 || n > limit {
		r.addFault(column, fmt.Sprintf("a whole number from 1 to %d", limit))
	}
	return n
}

// enumCell reads a cell that must hold one of the allowed values.
func enumCell[T ~string](r *row, column string, allowed ...T) T {
	v := T(r.cell(column))
	if !slices.Contains(allowed, v) {
		words := make([]string, len(allowed))
		for i, a := range allowed {
			words[i] = string(a)
		}
		r.addFault(column, strings.Join(words, " or "))
	}
	return v
}

// referenceCell reads a cell that names a row of another kind.
func (r *row) referenceCell(column string, kind Kind) string {
	name := r.cell(column)
	r.sheet.references = append(r.sheet.references, reference{row: r.number, column: column, kind: kind, name: name})
	return name
}

// defineName records the name of a row, which must be unique for its kind.
func (s *sheet) defineName(r *row, kind Kind) {
	name := r.cell(columnName)
	if name == "" || len(name) > maxNameBytes {
		r.addFault(columnName, fmt.Sprintf("a name of 1 to %d bytes", maxNameBytes))
		return
	}
	if s.rowOfName[kind] == nil {
		s.rowOfName[kind] = make(map[string]int)
	}
	if firstRow, duplicate := s.rowOfName[kind][name]; duplicate {
		r.addFault(columnName, fmt.Sprintf("a unique name; row %d already has it", firstRow))
		return
	}
	s.rowOfName[kind][name] = r.number
}

// checkReferences adds a fault for each name that no row defines, and sorts the
// faults by position.
func (s *sheet) checkReferences() {
	for _, ref := range s.references {
		if _, ok := s.rowOfName[ref.kind][ref.name]; !ok {
			s.faults.AddAt(ref.row, s.columnIndex[ref.column]+1, ref.column, ref.name, fmt.Sprintf("the name of a row of kind %s", ref.kind))
		}
	}
	slices.SortStableFunc(s.faults.Faults, func(a, b pimento.FieldError) int {
		if a.Row != b.Row {
			return a.Row - b.Row
		}
		return a.Column - b.Column
	})
}
