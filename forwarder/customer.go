package forwarder

import (
	"time"

	"pimentorelay.example/pimento"
)

// customerOf returns the customer that holds the API key of a request, nil if there is
// none or the manifest has no customers.
func (v *View) customerOf(r *pimento.Request) *pimento.Customer {
	if !v.Manifest.Authenticated || r.APIKey == "" {
		return nil
	}
	c, _ := v.Customers.ByKey(r.APIKey)
	return c
}

// isUnauthorized reports whether the request needs the API key of a customer and has none.
func (d decision) isUnauthorized() bool {
	return d.view.Manifest.Authenticated && d.customer == nil && (d.route == nil || !d.route.Public)
}

// mayUseKey reports whether a decision may rely on the API key of its request: the manifest
// is new enough to show that it was not taken away.
func (f *Forwarder) mayUseKey(d decision, arrived time.Time) bool {
	return d.customer == nil || f.Currency == nil || f.Currency.MayUseKeys(arrived)
}

// checkKey returns the refusal of a request whose API key has been taken away since it arrived,
// or may have been.
func (f *Forwarder) checkKey(r *pimento.Request, arrived time.Time) error {
	if r.Customer == nil {
		return nil
	}
	d := decision{view: f.View(), route: r.Route, customer: r.Customer}
	if d.view.Manifest.Authenticated {
		d.customer = d.view.customerOf(r)
	}
	switch {
	case d.customer == nil:
		return pimento.NotRun(pimento.ReasonUnauthorized, "the API key was taken away while the request waited")
	case d.customer.Name != r.Customer.Name:
		return refuseForNow("the API key went to another customer while the request waited")
	case !f.mayUseKey(d, arrived):
		return refuseForNow(staleDetail)
	}
	return nil
}

// refuseForNow returns the refusal of a request that another manifest may allow.
func refuseForNow(detail string) *pimento.OutcomeError {
	refusal := pimento.NotRun(pimento.ReasonStaleManifest, detail)
	refusal.RetryAfter = manifestRetryAfter
	return refusal
}
