package pimento

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestEveryEventIsDocumented checks that docs/EVENTS.md has a row with the number
// and name of every event.
func TestEveryEventIsDocumented(t *testing.T) {
	is := is.New(t)
	data, err := os.ReadFile("docs/EVENTS.md")
	is.NoErr(err)
	for _, n := range EventNumbers() {
		is.True(strings.Contains(string(data), fmt.Sprintf("| %d | %s |", n, n)))
	}
}
