package pimento

import (
	"fmt"
	"time"
)

// Span is a duration that is written as text, such as "250ms".
type Span time.Duration

// MarshalText writes the span as time.Duration does.
func (s Span) MarshalText() ([]byte, error) { return []byte(time.Duration(s).String()), nil }

// UnmarshalText reads the span as time.ParseDuration does.
func (s *Span) UnmarshalText(text []byte) error {
	d, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("Span.UnmarshalText: %w", err)
	}
	*s = Span(d)
	return nil
}
