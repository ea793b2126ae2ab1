package pimento

import "time"

// Bounds are the time limits and rates that operators set.
type Bounds struct {
	Leaving      time.Duration // until a leaving upstream gets no new work
	Shutdown     time.Duration // from the shutdown signal until the process is killed
	Apply        time.Duration // until a manifest is in force
	Evacuation   time.Duration // until a failure domain that was taken out gets no work
	AddressReuse time.Duration // until the address of an upstream may be reused by another
	MaxHold      time.Duration // longest hold of a grant
	RetryRatio   float64       // retries per request
	RetryWindow  time.Duration
	RetrySlack   float64 // retries per window beyond the ratio
	// Revocation is the time after which a request with an API key that was taken away must
	// not run, also where the store cannot be reached; zero: there is no such bound.
	Revocation time.Duration
	// In each QuotaWindow, a customer may get QuotaOvershoot, as a part of its quota, and
	// QuotaSlack requests more than that.
	QuotaWindow    time.Duration
	QuotaOvershoot float64
	QuotaSlack     float64
	ColdFactor     float64 // factor of the rate that a cold upstream can handle
	ColdAllowance  float64 // requests per second beyond that
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
		QuotaWindow:  5 * time.Second,
		ColdFactor:   1,
	}
}
