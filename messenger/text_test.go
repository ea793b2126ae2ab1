package messenger

import (
	"bytes"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"pimentorelay.example/pimento"
)

// TestTextThatIsNotUTF8Arrives guards against a caller or an upstream that ends the connection
// between two processes, with all calls on it, by a header that is not UTF-8. HTTP allows any
// bytes above 127 in one.
func TestTextThatIsNotUTF8Arrives(t *testing.T) {
	const text = "caf\xe9"
	record := pimento.Record{
		ID: text, Service: "s", State: pimento.RecordAnswered,
		Answer: pimento.AnswerHead{Status: http.StatusOK, Header: http.Header{"X-Place": {text}}, BodyLength: 2}, Body: []byte("ok"),
	}
	for name, m := range map[string]*Message{
		"BeginRecord":      {BeginRecord: &BeginRecord{Record: record}},
		"BeginRecordReply": {BeginRecordReply: &BeginRecordReply{Record: record}},
		"Finish":           {Finish: &Finish{Record: record}},
		"Copy":             {Copy: &Copy{Records: []pimento.Record{record}}},
		"Refusal":          {Refusal: &Refusal{Detail: text}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			frame, err := encodeFrame(m)
			is.NoErr(err)
			got, err := readFrame(bytes.NewReader(frame))
			is.NoErr(err)
			is.Equal(got, m)
		})
	}
}
