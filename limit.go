package pimento

import (
	"math"
	"strconv"
	"strings"
)

// RateLimit is how many requests a second an upstream accepts from all processes
// together.
type RateLimit float64

// LimitNotice is what an answer says about the limit of its upstream.
type LimitNotice struct {
	Named   bool // the answer names Rate
	Rate    RateLimit
	Invalid string // value of the header if it is not a limit
}

// ReadLimitNotice reads the values of a header that names a limit. Of several
// limits the lowest counts. Values that are no decimal number of zero or more are
// ignored, unless there are no others.
func ReadLimitNotice(values []string) LimitNotice {
	var n LimitNotice
	if len(values) == 0 {
		return n
	}
	for _, text := range strings.Split(strings.Join(values, ","), ",") {
		text = strings.TrimSpace(text)
		rate, ok := parseRateLimit(text)
		switch {
		case !ok:
			n.Invalid = text
		case !n.Named || rate < n.Rate:
			n.Named, n.Rate = true, rate
		}
	}
	if n.Named {
		n.Invalid = ""
	}
	return n
}

// parseRateLimit parses a decimal number of zero or more.
func parseRateLimit(text string) (RateLimit, bool) {
	if strings.Trim(text, "+-.0123456789eE") != "" {
		return 0, false
	}
	v, err := strconv.ParseFloat(text, 64)
	if err != nil || v < 0 || math.IsInf(v, 0) {
		return 0, false
	}
	return RateLimit(v), true
}
