package pimento

import (
	"strconv"
	"strings"
	"time"
)

// MaxPause is the longest pause that an upstream may name.
const MaxPause = time.Hour

// PauseNotice is what a refusal says about how long its upstream wants no requests
// from the process that it has refused.
type PauseNotice struct {
	Named   bool // the refusal names For
	For     time.Duration
	Invalid string // values of the header, quoted, if they are not a pause
}

// ReadPauseNotice reads the values of a header that names a pause in seconds. Anything
// but one decimal number from zero to MaxPause is invalid.
func ReadPauseNotice(values []string) PauseNotice {
	if len(values) == 0 {
		return PauseNotice{}
	}
	text := strings.Join(values, ",")
	if pause, ok := parsePause(strings.TrimSpace(text)); ok {
		return PauseNotice{Named: true, For: pause}
	}
	return PauseNotice{Invalid: strconv.Quote(text[:min(len(text), maxInvalidPause)])}
}

// maxInvalidPause is the most of an invalid value that is kept, in bytes.
const maxInvalidPause = 64

// parsePause parses a decimal number of seconds.
func parsePause(text string) (time.Duration, bool) {
	if strings.Trim(text, ".0123456789") != "" {
		return 0, false
	}
	seconds, err := strconv.ParseFloat(text, 64)
	if err != nil || seconds > MaxPause.Seconds() {
		return 0, false
	}
	return time.Duration(seconds * float64(time.Second)), true
}

// ReadLeaving reports whether the values of a header say that an upstream leaves.
func ReadLeaving(values []string) bool {
	return len(values) == 1 && strings.TrimSpace(values[0]) == "1"
}
