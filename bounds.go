package pimento

import "time"

// Bounds are the times and rates that operators demand.
type Bounds struct {
	Leaving       time.Duration // until a leaving upstream gets no new work
	Shutdown      time.Duration // from the signal to end until the process is killed
	Apply         time.Duration // until a manifest is in force
	Evacuation    time.Duration // until a failure domain that was taken out gets no work
	AddressReuse  time.Duration // until the address of an upstream may be another's
	MaxHold       time.Duration // longest hold of a grant
	RetryRatio    float64       // repeats for each request
	RetryWindow   time.Duration
	RetrySlack    float64 // repeats in a window beyond the ratio
	ColdFactor    float64 // of the rate that a cold upstream bears
	ColdAllowance float64 // requests a second beyond that
}

// DefaultBounds returns what holds where operators demand nothing else.
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
