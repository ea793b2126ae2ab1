package pimento

import (
	"errors"
	"fmt"
	"math"
	"strings"
	"testing"

	"github.com/matryer/is"
)

func TestCustomerTable(t *testing.T) {
	is := is.New(t)
	before := NewCustomerTable([]Customer{{Name: "a", Keys: []APIKey{"k1", "k2"}}, {Name: "b", Keys: []APIKey{"k3"}}})
	after := NewCustomerTable([]Customer{{Name: "a", Keys: []APIKey{"k1"}}, {Name: "b", Keys: []APIKey{"k3", "k4"}}})
	c, ok := before.ByKey("k2")
	is.True(ok)
	is.Equal(c.Name, CustomerName("a"))
	_, ok = before.ByKey("")
	is.True(!ok)
	is.Equal(before.Without(after), []CustomerKey{{Customer: "a", Key: "k2"}})
	is.Equal(after.Without(before), []CustomerKey{{Customer: "b", Key: "k4"}})
}

// TestKeysAreNotFormatted guards against API keys in logs and error texts.
func TestKeysAreNotFormatted(t *testing.T) {
	is := is.New(t)
	c := Customer{Name: "a", Keys: []APIKey{"secret-1"}}
	for _, format := range []string{"%v", "%+v", "%#v", "%s", "%q"} {
		is.True(!strings.Contains(fmt.Sprintf(format, c), "secret-1"))
	}
}

// TestCustomerFaults checks that all faults are gathered, without the keys.
func TestCustomerFaults(t *testing.T) {
	is := is.New(t)
	m := Manifest{Authenticated: true, Customers: []Customer{
		{Name: "a", Keys: []APIKey{"secret-1"}},
		{Name: "a", Keys: []APIKey{""}},
		{Name: "", Rate: -1},
		{Name: "c", Keys: []APIKey{"secret-1"}, Burst: math.NaN(), Rate: math.Inf(1)},
	}}
	var v *ValidationError
	is.True(errors.As(m.Validate(), &v))
	is.Equal(len(v.Faults), 7)
	is.True(!strings.Contains(v.Error(), "secret-1"))
}

// BenchmarkByKey shows that finding a customer takes as long among many keys as among few.
func BenchmarkByKey(b *testing.B) {
	for _, n := range []int{100, 100_000} {
		customers := make([]Customer, n/2)
		for i := range customers {
			customers[i] = Customer{Name: CustomerName(fmt.Sprint(i)), Keys: []APIKey{APIKey(fmt.Sprintf("r26tta828m82thhk%d", i)), APIKey(fmt.Sprintf("nirth5mgjy5rcpih%d", i))}}
		}
		t := NewCustomerTable(customers)
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for i := range b.N {
				k := customers[i%len(customers)].Keys[0]
				if _, ok := t.ByKey(k); !ok {
					b.Fatal("a key was not found")
				}
			}
		})
	}
}
