package pimento

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestCatalogue sees that every event number has a name and a row in the docs.
func TestCatalogue(t *testing.T) {
	is := is.New(t)
	data, err := os.ReadFile("docs/EVENTS.md")
	is.NoErr(err)
	for _, n := range EventNumbers() {
		is.True(strings.Contains(string(data), fmt.Sprintf("| %d | %s |", n, n)))
	}
}
