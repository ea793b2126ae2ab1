package router

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"pimentorelay.example/pimento"
	"pimentorelay.example/pimento/forwarder"
	"pimentorelay.example/pimento/recorder"
)

// TestCustomerMetricsAreBounded guards against metrics that grow with the customers.
func TestCustomerMetricsAreBounded(t *testing.T) {
	is := is.New(t)
	var c customerCounts
	c.add(&pimento.Request{}, nil)
	for i := range 3 * maxNamedCustomers {
		for range i + 1 {
			c.add(&pimento.Request{Customer: &pimento.Customer{Name: pimento.CustomerName(fmt.Sprint("c", i))}}, nil)
		}
	}
	c.add(&pimento.Request{Customer: &pimento.Customer{Name: "c59"}}, pimento.NotRun(pimento.ReasonQuota, ""))
	var out strings.Builder
	c.writeMetrics(&out)
	is.Equal(strings.Count(out.String(), "\n"), maxNamedCustomers+2)
	is.True(strings.Contains(out.String(), `relay_customer_requests_total{Customer="c59",Result="Answered"} 60`))
	is.True(strings.Contains(out.String(), `relay_customer_requests_total{Customer="c59",Result="Quota"} 1`))
	is.True(strings.Contains(out.String(), `{Customer="(others)",Result="Answered"} 820`))
}

// TestKeysInLogs checks that a change of keys is logged by their fingerprints.
func TestKeysInLogs(t *testing.T) {
	is := is.New(t)
	var text bytes.Buffer
	o := &observer{events: &recorder.Recorder{Log: hclog.New(&hclog.LoggerOptions{Output: &text, JSONFormat: true})}}
	view := func(version uint64, keys ...pimento.APIKey) *forwarder.View {
		return forwarder.NewView(&pimento.Manifest{Version: version, Authenticated: true, Customers: []pimento.Customer{{Name: "a", Keys: keys}}})
	}
	o.keysChanged(nil, view(1, "secret-1", "secret-2"))
	is.Equal(text.Len(), 0)
	o.keysChanged(view(1, "secret-1", "secret-2"), view(2, "secret-2", "secret-3"))
	is.Equal(strings.Count(text.String(), "\n"), 2)
	is.True(strings.Contains(text.String(), pimento.APIKey("secret-1").Fingerprint()))
	is.True(strings.Contains(text.String(), pimento.APIKey("secret-3").Fingerprint()))
	is.True(!strings.Contains(text.String(), "secret-"))
}
