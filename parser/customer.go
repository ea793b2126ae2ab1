package parser

import (
	"fmt"
	"math"
	"strconv"
	"strings"

	"pimentorelay.example/pimento"
)

// accessPublic is the Access of a category whose callers need no API key.
const accessPublic = "Public"

// hidden is shown in a fault instead of what may be an API key.
const hidden = "(not shown)"

// mayBeKey reports whether a cell may hold an API key. Keys that are separated by commas
// without quotes end up in the columns after their own, or beyond the last.
func (r *row) mayBeKey(column string) bool {
	return column == columnKeys || Kind(r.cell(columnKind)) == KindCustomer
}

// customer reads a row that describes a customer.
func (r *row) customer() pimento.Customer {
	c := pimento.Customer{
		Name: pimento.CustomerName(r.cell(columnName)), Rate: r.quotaCell(columnRate), Burst: r.quotaCell(columnBurst), Priority: r.priorityCell(),
	}
	for key := range strings.FieldsSeq(r.cell(columnKeys)) {
		c.Keys = append(c.Keys, pimento.APIKey(key))
	}
	return c
}

// quotaCell reads a number of zero or more; an empty cell is zero.
func (r *row) quotaCell(column string) float64 {
	text := r.cell(column)
	if text == "" {
		return 0
	}
	v, err := strconv.ParseFloat(text, 64)
	if err != nil || v < 0 || math.IsNaN(v) || math.IsInf(v, 0) {
		r.addFault(column, "a number of zero or more")
		return 0
	}
	return v
}

// priorityCell reads a whole number; an empty cell is zero.
func (r *row) priorityCell() int {
	text := r.cell(columnPriority)
	if text == "" {
		return 0
	}
	n, err := strconv.Atoi(text)
	if err != nil {
		r.addFault(columnPriority, "a whole number")
	}
	return n
}

// publicCell reads whether callers of a category need no API key.
func (r *row) publicCell() bool {
	text := r.cell(columnAccess)
	if text != "" && text != accessPublic {
		r.addFault(columnAccess, accessPublic+" or an empty cell")
	}
	return text == accessPublic
}

// describeCustomer describes a customer for a list of changes, without its API keys.
func describeCustomer(c pimento.Customer) string {
	keys := make([]string, len(c.Keys))
	for i, k := range c.Keys {
		keys[i] = k.Fingerprint()
	}
	return fmt.Sprintf("%g requests a second, burst %g, priority %d, keys [%s]", c.Rate, c.Burst, c.Priority, strings.Join(keys, " "))
}
