package pimento

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"math"
	"strings"
)

// CustomerName names a customer.
type CustomerName string

// APIKey is the secret with which callers show that they belong to a customer. Formatting
// one, as for logs and errors, gives its fingerprint.
type APIKey string

// fingerprintBytes is how much of the hash of an API key is shown to operators.
const fingerprintBytes = 4

// Fingerprint returns a short text by which operators tell API keys apart. It does not
// reveal the key.
func (k APIKey) Fingerprint() string {
	sum := sha256.Sum256([]byte(k))
	return hex.EncodeToString(sum[:fingerprintBytes])
}

// String returns the fingerprint.
func (k APIKey) String() string { return "key:" + k.Fingerprint() }

// GoString returns the fingerprint, for formatting with %#v.
func (k APIKey) GoString() string { return k.String() }

// ReadAPIKey reads the values of an Authorization header (RFC 6750). The key is empty
// unless there is exactly one, of the scheme Bearer.
func ReadAPIKey(values []string) APIKey {
	if len(values) != 1 {
		return ""
	}
	scheme, key, ok := strings.Cut(strings.TrimSpace(values[0]), " ")
	if !ok || !strings.EqualFold(scheme, "Bearer") {
		return ""
	}
	return APIKey(strings.TrimSpace(key))
}

// Customer is an organization whose callers share a quota.
type Customer struct {
	Name CustomerName
	Keys []APIKey
	// Rate is the quota in requests a second over all processes together; zero: none.
	Rate float64 `json:",omitempty"`
	// Burst is how many requests beyond Rate may come at once.
	Burst float64 `json:",omitempty"`
	// Priority goes before the priority of a route. Lower values are more urgent.
	Priority int `json:",omitempty"`
}

// IsLimited reports whether the customer has a quota.
func (c *Customer) IsLimited() bool { return c.Rate > 0 }

// CustomerTable finds the customer of an API key. It does not change once built.
type CustomerTable struct {
	byKey  map[APIKey]*Customer
	byName map[CustomerName]*Customer
}

// NewCustomerTable returns a table of customers.
func NewCustomerTable(customers []Customer) *CustomerTable {
	t := &CustomerTable{byKey: make(map[APIKey]*Customer, len(customers)), byName: make(map[CustomerName]*Customer, len(customers))}
	for i := range customers {
		c := &customers[i]
		t.byName[c.Name] = c
		for _, k := range c.Keys {
			t.byKey[k] = c
		}
	}
	return t
}

// ByKey returns the customer that holds a key.
func (t *CustomerTable) ByKey(k APIKey) (*Customer, bool) {
	c, ok := t.byKey[k]
	return c, ok
}

// ByName returns the customer with a name.
func (t *CustomerTable) ByName(name CustomerName) (*Customer, bool) {
	c, ok := t.byName[name]
	return c, ok
}

// Len returns the number of API keys.
func (t *CustomerTable) Len() int { return len(t.byKey) }

// CustomerKey is an API key with its customer.
type CustomerKey struct {
	Customer CustomerName
	Key      APIKey
}

// Without returns the keys that their customers hold in t and not in o.
func (t *CustomerTable) Without(o *CustomerTable) []CustomerKey {
	var out []CustomerKey
	for k, c := range t.byKey {
		if other, ok := o.byKey[k]; !ok || other.Name != c.Name {
			out = append(out, CustomerKey{Customer: c.Name, Key: k})
		}
	}
	return out
}

// validateCustomers adds the faults of customers: empty or duplicate names, keys that are
// empty or held twice, and quotas that are no numbers of zero or more.
func validateCustomers(v *ValidationError, customers []Customer) {
	checkUnique(v, "Customer", customers, func(c Customer) string { return string(c.Name) })
	holders := make(map[APIKey]CustomerName)
	for _, c := range customers {
		for _, k := range c.Keys {
			holder, held := holders[k]
			switch {
			case k == "":
				v.Add(fmt.Sprintf("Keys of customer %q", c.Name), "", "keys that are not empty")
			case held:
				v.Add(fmt.Sprintf("Keys of customer %q", c.Name), k.String(), fmt.Sprintf("a key that no other customer has; %q has it", holder))
			}
			holders[k] = c.Name
		}
		for _, x := range []struct {
			field string
			value float64
		}{{"Rate", c.Rate}, {"Burst", c.Burst}} {
			if x.value < 0 || math.IsNaN(x.value) || math.IsInf(x.value, 0) {
				v.Add(fmt.Sprintf("%s of customer %q", x.field, c.Name), fmt.Sprint(x.value), "a number of zero or more")
			}
		}
	}
}
