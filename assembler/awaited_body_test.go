package assembler_test

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestAwaitedBodyArrivesWhole guards against an order whose body, which awaits a 100
// Continue, is changed on its way, since its beginning is read before it is sent.
func TestAwaitedBodyArrivesWhole(t *testing.T) {
	d := startDeployment(t)
	client := &http.Client{Transport: &http.Transport{ExpectContinueTimeout: 5 * time.Second}}
	for _, size := range []int{1, 5000, 64 << 10, 64<<10 + 1, 300_000} {
		for _, chunked := range []bool{false, true} {
			t.Run(fmt.Sprint(size, chunked), func(t *testing.T) {
				is := is.New(t)
				body := bytes.Repeat([]byte("0123456789"), size/10+1)[:size]
				r, err := http.NewRequestWithContext(t.Context(), "POST", d.URL(0)+"/connection%20refused/order/awaited", io.NopCloser(bytes.NewReader(body)))
				is.NoErr(err)
				r.Header.Set("Expect", "100-continue")
				if !chunked {
					r.ContentLength = int64(size)
				}
				res, err := client.Do(r)
				is.NoErr(err)
				defer res.Body.Close()
				answer, err := io.ReadAll(res.Body)
				is.NoErr(err)
				is.Equal(res.StatusCode, http.StatusOK)
				sum := sha256.Sum256(body)
				is.True(strings.Contains(string(answer), hex.EncodeToString(sum[:])))
			})
		}
	}
}
