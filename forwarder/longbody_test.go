package forwarder

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"pimentorelay.example/pimento"
)

// failingReader ends with an error.
type failingReader struct{ err error }

func (r failingReader) Read([]byte) (int, error) { return 0, r.err }

// TestAnswerThatBreaksOffIsNoAnswer guards against a long answer that ends early and
// counts as one: the crash of its upstream would clear those before.
func TestAnswerThatBreaksOffIsNoAnswer(t *testing.T) {
	canceled, cancel := context.WithCancel(t.Context())
	cancel()
	expired, cancel := context.WithDeadline(t.Context(), time.Unix(1, 0))
	defer cancel()
	half := strings.Repeat("x", maxBufferedBody)
	broken := io.MultiReader(strings.NewReader(half), failingReader{io.ErrUnexpectedEOF})
	for _, c := range []struct {
		name   string
		ctx    context.Context
		method string
		length int64
		body   io.Reader
		read   int64 // bytes; negative: until the end
		want   pimento.Reason
	}{
		{"Whole", t.Context(), "GET", 2 * maxBufferedBody, strings.NewReader(half + half), 2 * maxBufferedBody, ""},
		{"WholeOfUnknownLength", t.Context(), "GET", -1, strings.NewReader(half + half), -1, ""},
		{"WithoutBody", t.Context(), http.MethodHead, 2 * maxBufferedBody, http.NoBody, 0, ""},
		{"BreaksOff", t.Context(), "GET", 2 * maxBufferedBody, broken, -1, pimento.ReasonUpstreamLost},
		{"OfUnknownLengthBreaksOff", t.Context(), "GET", -1, failingReader{io.ErrUnexpectedEOF}, -1, pimento.ReasonUpstreamLost},
		{"CallerLeaves", t.Context(), "GET", 2 * maxBufferedBody, strings.NewReader(half + half), 10, pimento.ReasonCallerGone},
		{"CallerHasLeft", canceled, "GET", -1, failingReader{io.ErrClosedPipe}, -1, pimento.ReasonCallerGone},
		{"TimesOut", expired, "GET", -1, failingReader{io.ErrClosedPipe}, -1, pimento.ReasonTimeout},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var ends []error
			answer := pimento.Answer{Head: pimento.AnswerHead{Status: 200, BodyLength: c.length}, Body: io.NopCloser(c.body)}
			b := newLongBody(c.ctx, c.method, answer, func(err error) { ends = append(ends, err) })
			var src io.Reader = b
			if c.read >= 0 {
				src = io.LimitReader(b, c.read)
			}
			_, _ = io.Copy(io.Discard, src) // fails where the answer does
			is.NoErr(b.Close())
			is.NoErr(b.Close())
			is.Equal(len(ends), 1)
			var out *pimento.OutcomeError
			is.Equal(errors.As(ends[0], &out), c.want != "")
			if c.want != "" {
				is.Equal(out.Reason, c.want)
				is.Equal(out.Outcome, pimento.OutcomeUnknown)
			}
		})
	}
}
