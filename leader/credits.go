package leader

import (
	"time"

	"pimentorelay.example/pimento"
	"pimentorelay.example/pimento/allocator"
	"pimentorelay.example/pimento/messenger"
)

// updateCredits keeps the allocator of the quotas of customers up to date. There is none while
// this process may not act as the leader, since processes go on without one then, and none
// without a customer that has a quota.
func (l *Leader) updateCredits(now time.Time) {
	t := l.term
	m := l.manifest()
	if m == nil || !l.HasAuthority() || !hasQuotas(m) {
		t.credits = nil
		return
	}
	if t.credits == nil {
		t.credits = allocator.New(now)
		t.creditsOf, t.dispatchersOf = nil, nil
	}
	if t.dispatchersOf != l.assignment {
		t.dispatchersOf = l.assignment
		t.credits.SetDispatchers(l.dispatchers())
	}
	if tolerance := Tolerance(l.bounds()); t.creditsOf != m || t.tolerance != tolerance {
		t.creditsOf, t.tolerance = m, tolerance
		t.credits.SetQuotas(now, m.Customers, tolerance)
	}
	for _, c := range t.credits.Changes() {
		l.logQuota(c)
	}
	if !now.Before(t.quotasAt) {
		t.quotasAt = now.Add(quotasInterval)
		quotas := t.credits.Quotas(now)
		l.quotas.Store(&quotas)
	}
}

// quotasInterval is the time between two changes of what Quotas returns.
const quotasInterval = time.Second

// Quotas describes the quotas of customers, for operators; nil unless this process leads.
func (l *Leader) Quotas() []pimento.QuotaReport {
	if quotas := l.quotas.Load(); quotas != nil {
		return *quotas
	}
	return nil
}

// hasQuotas reports whether a customer of a manifest has a quota.
func hasQuotas(m *pimento.Manifest) bool {
	for i := range m.Customers {
		if m.Customers[i].IsLimited() {
			return true
		}
	}
	return false
}

// Tolerance returns by how much customers may exceed their quotas.
func Tolerance(b pimento.Bounds) allocator.Tolerance {
	return allocator.Tolerance{Window: b.QuotaWindow, Overshoot: b.QuotaOvershoot, Slack: b.QuotaSlack}
}

// dispatchers returns the processes that are first in the preference list of a pool.
func (l *Leader) dispatchers() []pimento.ProcessID {
	var out []pimento.ProcessID
	for _, p := range l.assignment.Pools {
		if len(p.PreferenceList) > 0 {
			out = append(out, p.PreferenceList[0])
		}
	}
	return out
}

// creditsFor returns what a member gets now of the quotas of customers, nil if there are none.
func (l *Leader) creditsFor(now time.Time, id pimento.ProcessID) *messenger.Credits {
	t := l.term
	if t.credits == nil {
		return nil
	}
	return &messenger.Credits{Dispatchers: t.credits.Dispatchers(), Grants: t.credits.Grants(now, id)}
}

// applyUses records what a member reports of customers.
func (l *Leader) applyUses(now time.Time, id pimento.ProcessID, r messenger.Report) {
	t := l.term
	if t.credits == nil {
		return
	}
	uses := r.Uses
	if r.UsesEpoch != l.elector.Term().Epoch {
		uses = nil // totals of another leader
	}
	t.credits.Report(now, id, uses)
}

// logQuota logs that the quota of a customer has become exhausted, or no longer is.
func (l *Leader) logQuota(c allocator.Change) {
	number := pimento.EventQuotaRegained
	if c.Exhausted {
		number = pimento.EventQuotaExhausted
	}
	l.Events.Emit(number, "Customer", c.Customer, "Rate", c.Rate, "Demand", c.Demand, "Manifest", l.Member.Versions().Manifest)
}
