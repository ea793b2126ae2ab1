package pimento

import "time"

// Bounds are the time limits and rates that operators set.
type Bounds struct {
	Leaving       time.Duration // until a leaving upstream gets no new work
	Shutdown      time.Duration // from the shutdown signal until the process is killed
	Apply         time.Duration // until a manifest is in force
	Evacuation    time.Duration // until a failure domain that was taken out gets no work
	AddressReuse  time.Duration // until the address of an upstream may be reused by another
	MaxHold       time.Duration // longest hold of a grant
	RetryRatio    float64       // retries per request
	RetryWindow   time.Duration
	RetrySlack    float64 // retries per window beyond the ratio
	ColdFactor    float64 // factor of the rate that a cold upstream can handle
	ColdAllowance float64 // requests per second beyond that
}

// DefaultBounds returns the bounds that apply unless operators set others.
func DefaultBounds() Bounds {
	return Bounds{
		Leaving:      2 * time.Second,
		Shutdown:     6 * time.Second,
		Apply:        2 * time.Second,
		Evacuation:   5 * time.Second,
		AddressReuse: 2 * time.Second,
		MaxHold:      10 * time.Second,
		RetryRatio:   0.2,
		RetryWindow:  10 * time.Second,
		RetrySlack:   20,
		ColdFactor:   1,
	}
}
