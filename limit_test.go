package pimento

import (
	"testing"

	"github.com/matryer/is"
)

// TestFaultyLimitIsNoLimit guards against a value that is no limit and stops or
// frees an upstream.
func TestFaultyLimitIsNoLimit(t *testing.T) {
	for _, c := range []struct {
		values []string
		want   LimitNotice
	}{
		{nil, LimitNotice{}},
		{[]string{""}, LimitNotice{}},
		{[]string{"", "3"}, LimitNotice{Named: true, Rate: 3}},
		{[]string{"2.9"}, LimitNotice{Named: true, Rate: 2.9}},
		{[]string{" 3 "}, LimitNotice{Named: true, Rate: 3}},
		{[]string{"1e2"}, LimitNotice{Named: true, Rate: 100}},
		{[]string{"0"}, LimitNotice{Named: true}},
		{[]string{"4", "2.5"}, LimitNotice{Named: true, Rate: 2.5}},
		{[]string{"4, 2.5"}, LimitNotice{Named: true, Rate: 2.5}},
		{[]string{"4", "none"}, LimitNotice{Named: true, Rate: 4}},
		{[]string{"-1"}, LimitNotice{Invalid: "-1"}},
		{[]string{"NaN"}, LimitNotice{Invalid: "NaN"}},
		{[]string{"Inf"}, LimitNotice{Invalid: "Inf"}},
		{[]string{"1e999"}, LimitNotice{Invalid: "1e999"}},
		{[]string{"0x10"}, LimitNotice{Invalid: "0x10"}},
		{[]string{"1_000"}, LimitNotice{Invalid: "1_000"}},
		{[]string{"2.9/s"}, LimitNotice{Invalid: "2.9/s"}},
		{[]string{"1e300"}, LimitNotice{Named: true, Rate: 1e300}},
	} {
		is.New(t).Equal(ReadLimitNotice(c.values), c.want)
	}
}
