package router

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"

	"pimentorelay.example/pimento"
	"pimentorelay.example/pimento/forwarder"
)

const (
	// maxNamedCustomers bounds the customers that metrics name; the others are counted
	// together.
	maxNamedCustomers = 20
	// otherCustomers is the label of those.
	otherCustomers = "(others)"
	// maxKeyLines bounds the lines about API keys that one manifest causes.
	maxKeyLines = 200
)

// customerResult is how requests of customers end, for metrics.
type customerResult string

// The results.
const (
	customerAnswered customerResult = "Answered"
	customerQuota    customerResult = "Quota" // beyond the quota
	customerNotRun   customerResult = "NotRun"
	customerUnknown  customerResult = "Unknown"
)

// customerCounts counts the requests of customers by their results.
type customerCounts struct {
	mu     sync.Mutex
	counts map[pimento.CustomerName]map[customerResult]uint64
}

// add counts a request.
func (c *customerCounts) add(r *pimento.Request, err error) {
	if r.Customer == nil {
		return
	}
	result := customerAnswered
	if err != nil {
		out := outcomeOf(err)
		switch {
		case out.Outcome != pimento.OutcomeNotRun:
			result = customerUnknown
		case out.Reason == pimento.ReasonQuota:
			result = customerQuota
		default:
			result = customerNotRun
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.counts == nil {
		c.counts = make(map[pimento.CustomerName]map[customerResult]uint64)
	}
	if c.counts[r.Customer.Name] == nil {
		c.counts[r.Customer.Name] = make(map[customerResult]uint64)
	}
	c.counts[r.Customer.Name][result]++
}

// writeMetrics writes the counts: of the customers with most requests by name, of the others
// together.
func (c *customerCounts) writeMetrics(w io.Writer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	total := func(name pimento.CustomerName) (n uint64) {
		for _, x := range c.counts[name] {
			n += x
		}
		return n
	}
	names := slices.SortedFunc(maps.Keys(c.counts), func(x, y pimento.CustomerName) int {
		return cmp.Or(cmp.Compare(total(y), total(x)), cmp.Compare(x, y))
	})
	others := make(map[customerResult]uint64)
	for i, name := range names {
		if i < maxNamedCustomers {
			writeCustomer(w, string(name), c.counts[name])
			continue
		}
		for result, n := range c.counts[name] {
			others[result] += n
		}
	}
	writeCustomer(w, otherCustomers, others)
}

func writeCustomer(w io.Writer, name string, counts map[customerResult]uint64) {
	for _, result := range slices.Sorted(maps.Keys(counts)) {
		fmt.Fprintf(w, "%s %d\n", metricName("relay_customer_requests_total", []any{"Customer", name, "Result", string(result)}), counts[result])
	}
}

// keysChanged logs the API keys that a manifest has put in force or taken out of it, by their
// fingerprints.
func (o *observer) keysChanged(before, after *forwarder.View) {
	if before == nil || before.Customers == nil || !before.Manifest.Authenticated {
		return // those of the first manifest are no change
	}
	for _, change := range []struct {
		number pimento.EventNumber
		keys   []pimento.CustomerKey
	}{
		{pimento.EventAPIKeyRemoved, before.Customers.Without(after.Customers)},
		{pimento.EventAPIKeyAdded, after.Customers.Without(before.Customers)},
	} {
		for i, k := range change.keys {
			if i == maxKeyLines {
				o.events.Emit(change.number, "More", len(change.keys)-i, "Manifest", after.Manifest.Version)
				break
			}
			o.events.Emit(change.number, "Customer", k.Customer, "APIKey", k.Key.Fingerprint(), "Manifest", after.Manifest.Version)
		}
	}
}
