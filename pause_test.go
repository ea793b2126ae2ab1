package pimento

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestFaultyPauseIsNoPause guards against a value that is no pause and stops an
// upstream.
func TestFaultyPauseIsNoPause(t *testing.T) {
	for _, c := range []struct {
		values []string
		want   PauseNotice
	}{
		{nil, PauseNotice{}},
		{[]string{"2"}, PauseNotice{Named: true, For: 2 * time.Second}},
		{[]string{" 0.25 "}, PauseNotice{Named: true, For: 250 * time.Millisecond}},
		{[]string{"0"}, PauseNotice{Named: true}},
		{[]string{"3600"}, PauseNotice{Named: true, For: time.Hour}},
		{[]string{""}, PauseNotice{Invalid: `""`}},
		{[]string{"."}, PauseNotice{Invalid: `"."`}},
		{[]string{"3600.1"}, PauseNotice{Invalid: `"3600.1"`}},
		{[]string{"-1"}, PauseNotice{Invalid: `"-1"`}},
		{[]string{"+1"}, PauseNotice{Invalid: `"+1"`}},
		{[]string{"NaN"}, PauseNotice{Invalid: `"NaN"`}},
		{[]string{"Inf"}, PauseNotice{Invalid: `"Inf"`}},
		{[]string{"1e3"}, PauseNotice{Invalid: `"1e3"`}},
		{[]string{"0x10"}, PauseNotice{Invalid: `"0x10"`}},
		{[]string{"1_0"}, PauseNotice{Invalid: `"1_0"`}},
		{[]string{"2s"}, PauseNotice{Invalid: `"2s"`}},
		{[]string{"2, 3"}, PauseNotice{Invalid: `"2, 3"`}},
		{[]string{"2", "2"}, PauseNotice{Invalid: `"2,2"`}},
		{[]string{"Wed, 21 Oct 2026 07:28:00 GMT"}, PauseNotice{Invalid: `"Wed, 21 Oct 2026 07:28:00 GMT"`}},
		{[]string{strings.Repeat("9", 400)}, PauseNotice{Invalid: `"` + strings.Repeat("9", maxInvalidPause) + `"`}},
	} {
		is.New(t).Equal(ReadPauseNotice(c.values), c.want)
	}
}

// TestOnlyOneMeansLeaving guards against an upstream that gets no more work because of
// a header that does not say that it leaves.
func TestOnlyOneMeansLeaving(t *testing.T) {
	is := is.New(t)
	is.True(ReadLeaving([]string{"1"}))
	is.True(ReadLeaving([]string{" 1 "}))
	for _, values := range [][]string{nil, {""}, {"0"}, {"true"}, {"yes"}, {"01"}, {"1", "1"}, {"1, 1"}} {
		is.True(!ReadLeaving(values))
	}
}
