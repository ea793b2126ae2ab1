package assembler_test

import (
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestIDThatIsNotUTF8 guards against an Idempotency-Key whose bytes are no UTF-8: its request is
// not run, and the calls that other requests have at the same process fail.
func TestIDThatIsNotUTF8(t *testing.T) {
	d := startDeployment(t)
	for i := range 5 { // one of them keeps the records of the service itself
		is := is.New(t)
		r, err := http.NewRequestWithContext(t.Context(), "POST", d.URL(i)+"/connection%20refused/order", strings.NewReader("crate"))
		is.NoErr(err)
		r.Header.Set("Idempotency-Key", "caf\xe9 "+string(rune('a'+i)))
		res, err := http.DefaultClient.Do(r)
		is.NoErr(err)
		res.Body.Close()
		is.Equal(res.StatusCode, http.StatusOK)
	}
}
