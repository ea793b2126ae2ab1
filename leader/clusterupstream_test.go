package leader

import (
	"context"
	"fmt"
	"slices"
	"time"

	"pimentorelay.example/pimento"
)

// Grant implements Grantor.
func (p *process) Grant(ctx context.Context, to pimento.Server, g pimento.KeyGrant) error {
	ctx, cancel := context.WithTimeout(ctx, 600*time.Millisecond)
	defer cancel()
	unreachable := &pimento.UnreachableError{Target: string(to.Name), Cause: errNoAnswer}
	if p.cluster.happens(&p.cluster.stallRate) && !p.cluster.stall(&ctx) {
		return &pimento.UnreachableError{Target: string(to.Name), Cause: ctx.Err(), Unsent: true}
	}
	defer p.cluster.pause(p.self.Host)
	p.cluster.pause(p.self.Host)
	if !time.Now().Before(g.SendBefore) {
		return &pimento.UnreachableError{Target: string(to.Name), Cause: errNoAnswer, Unsent: true, Withheld: true}
	}
	if ctx.Err() != nil {
		return &pimento.UnreachableError{Target: string(to.Name), Cause: ctx.Err(), Unsent: true}
	}
	run := p.cluster.runOf(to.Name) // that the connection leads to
	p.cluster.pause(p.self.Host)
	if p.cluster.justThawed(p.self.Host) {
		return unreachable
	}
	if ctx.Err() != nil { // it is written nevertheless
		p.cluster.arriveLate(string(p.self.Host), run, func() { p.cluster.applyGrant(p.self.ID, to, g, time.Now()) })
		return unreachable
	}
	if !p.cluster.deliverCall(ctx, string(p.self.Host), string(to.Name), func() { p.cluster.applyGrant(p.self.ID, to, g, time.Now()) }) {
		return unreachable
	}
	arrivedAt := time.Now()
	if p.cluster.happens(&p.cluster.lateGrantRate) {
		run := p.cluster.runOf(to.Name)
		p.cluster.spawn(func() {
			sleep(p.cluster.ctx, p.cluster.randomDuration(2*time.Second, 12*time.Second))
			if p.cluster.runOf(to.Name).Same(run) { // what a run has received ends with it
				p.cluster.applyGrant(p.self.ID, to, g, arrivedAt)
			}
		})
		<-ctx.Done()
		return unreachable
	}
	err := p.cluster.applyGrant(p.self.ID, to, g, arrivedAt)
	if !p.cluster.deliver(ctx, string(to.Name), string(p.self.Host)) {
		return unreachable
	}
	return err
}

// runOf returns the present run of an upstream.
func (cl *cluster) runOf(name pimento.UpstreamName) pimento.Run {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return pimento.Run{Upstream: name, Started: cl.upstreams[name].server.Started}
}

// applyGrant applies a grant at an upstream whose clock runs 2% slow.
func (cl *cluster) applyGrant(by pimento.ProcessID, to pimento.Server, g pimento.KeyGrant, arrivedAt time.Time) error {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	u := cl.upstreams[to.Name]
	if !u.up { // a call names the upstream, not its run
		return &pimento.UnreachableError{Target: string(to.Name), Cause: errNoAnswer, Unsent: true}
	}
	for _, s := range u.fences {
		if s.Overlaps(g.Range) && s.fence > g.Fence {
			return &pimento.FencedError{Upstream: to.Name, Range: g.Range, Fence: g.Fence}
		}
	}
	until := arrivedAt.Add(g.Hold + g.Hold/50)
	if !time.Now().Before(until) {
		if cl.takesExpired {
			cl.checkTaken(by, u, g)
		}
		return nil
	}
	cl.checkGrant(by, u, g)
	u.taken = append(slices.DeleteFunc(u.taken, func(x grant) bool {
		return g.Range.From <= x.From && x.To <= g.Range.To && x.fence <= g.Fence
	}), grant{KeyRange: g.Range, fence: g.Fence})
	u.recordFence(g.Range, g.Fence)
	u.removeKeys(g.Range)
	u.grants = append(u.grants, grant{KeyRange: g.Range, fence: g.Fence, until: until})
	return nil
}

// checkGrant records a violation if another upstream holds the keys, or has them
// under a higher fence. The caller holds mu.
func (cl *cluster) checkGrant(by pimento.ProcessID, u *upstream, g pimento.KeyGrant) {
	now := time.Now()
	cl.checkTaken(by, u, g)
	for name, o := range cl.upstreams {
		if o == u || !o.up {
			continue
		}
		for _, x := range o.grants {
			if x.Overlaps(g.Range) && now.Before(x.until) {
				cl.violations = append(cl.violations, fmt.Sprintf("%v: leader %s granted upstream %s keys %s with fence %d while %s holds %s with fence %d for another %v",
					now.Sub(cl.started), by, u.server.Name, g.Range, g.Fence, name, x.KeyRange, x.fence, x.until.Sub(now)))
			}
		}
		for _, x := range o.fences {
			if x.Overlaps(g.Range) && x.fence > g.Fence && slices.ContainsFunc(o.grants, func(y grant) bool { return y.Overlaps(g.Range) && y.fence > g.Fence }) {
				cl.violations = append(cl.violations, fmt.Sprintf("%v: leader %s granted upstream %s keys %s with fence %d, below fence %d of %s",
					now.Sub(cl.started), by, u.server.Name, g.Range, g.Fence, x.fence, name))
			}
		}
	}
}

// checkTaken records a violation if another upstream has had the keys under a fence that
// is not lower. The caller holds mu.
func (cl *cluster) checkTaken(by pimento.ProcessID, u *upstream, g pimento.KeyGrant) {
	for name, o := range cl.upstreams {
		if o == u || !o.up {
			continue
		}
		for _, x := range o.taken {
			if x.Overlaps(g.Range) && x.fence >= g.Fence {
				cl.violations = append(cl.violations, fmt.Sprintf("%v: leader %s granted upstream %s keys %s with fence %d, %s has had %s with fence %d",
					time.Since(cl.started), by, u.server.Name, g.Range, g.Fence, name, x.KeyRange, x.fence))
			}
		}
	}
}

// recordFence records the highest fence of a range.
func (u *upstream) recordFence(r pimento.KeyRange, fence uint64) {
	u.fences = slices.DeleteFunc(u.fences, func(g grant) bool {
		return r.From <= g.From && g.To <= r.To && g.fence <= fence
	})
	u.fences = append(u.fences, grant{KeyRange: r, fence: fence})
}

// removeKeys removes a range from the grants.
func (u *upstream) removeKeys(r pimento.KeyRange) {
	var out []grant
	for _, g := range u.grants {
		if !g.Overlaps(r) {
			out = append(out, g)
			continue
		}
		if g.From < r.From {
			left := g
			left.To = r.From - 1
			out = append(out, left)
		}
		if r.To < g.To {
			right := g
			right.From = r.To + 1
			out = append(out, right)
		}
	}
	u.grants = out
}

// Release implements Grantor.
func (p *process) Release(ctx context.Context, from pimento.Server, r pimento.KeyRange, fence uint64, wait time.Duration) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	unreachable := &pimento.UnreachableError{Target: string(from.Name), Cause: errNoAnswer}
	p.cluster.pause(p.self.Host)
	if ctx.Err() != nil {
		return "", &pimento.UnreachableError{Target: string(from.Name), Cause: ctx.Err(), Unsent: true}
	}
	defer p.cluster.pause(p.self.Host)
	if p.cluster.isSet(&p.cluster.losesReleases) {
		return "", unreachable
	}
	if !p.cluster.deliverCall(ctx, string(p.self.Host), string(from.Name), func() { p.cluster.applyRelease(from, r, fence) }) {
		return "", unreachable
	}
	if p.cluster.releasesLate() {
		run := p.cluster.runOf(from.Name)
		p.cluster.spawn(func() {
			sleep(p.cluster.ctx, p.cluster.randomDuration(2*time.Second, 12*time.Second))
			if p.cluster.runOf(from.Name).Same(run) {
				p.cluster.applyRelease(from, r, fence)
			}
		})
		<-ctx.Done()
		return "", unreachable
	}
	if !p.cluster.applyRelease(from, r, fence) {
		return "", &pimento.UnreachableError{Target: string(from.Name), Cause: errNoAnswer, Unsent: true}
	}
	sleep(ctx, p.cluster.randomDuration(10*time.Millisecond, 400*time.Millisecond)) // running requests end
	if !p.cluster.deliver(ctx, string(from.Name), string(p.self.Host)) {
		return "", unreachable
	}
	return "handover", nil
}

// applyRelease applies a release at an upstream and reports whether it has arrived.
func (cl *cluster) applyRelease(from pimento.Server, r pimento.KeyRange, fence uint64) bool {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	u := cl.upstreams[from.Name]
	if !u.up {
		return false
	}
	u.recordFence(r, fence)
	u.removeKeys(r)
	return true
}

// Probe implements Grantor.
func (p *process) Probe(ctx context.Context, at pimento.Server, _ string) error {
	ctx, cancel := context.WithTimeout(ctx, 600*time.Millisecond)
	defer cancel()
	unreachable := &pimento.UnreachableError{Target: string(at.Name), Cause: errNoAnswer}
	if !p.cluster.deliver(ctx, string(p.self.Host), string(at.Name)) {
		return unreachable
	}
	p.cluster.mu.Lock()
	u := p.cluster.upstreams[at.Name]
	up := u.up
	p.cluster.mu.Unlock()
	if !up || !p.cluster.deliver(ctx, string(at.Name), string(p.self.Host)) {
		return unreachable
	}
	return nil
}

// restartUpstream starts a new run of an upstream, without keys.
func (cl *cluster) restartUpstream(name pimento.UpstreamName) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	u := cl.upstreams[name]
	u.up, u.listed = true, true
	u.server.State = pimento.StateArriving
	u.server.Started = time.Now()
	u.grants, u.fences = nil, nil
}

func (cl *cluster) setUp(name pimento.UpstreamName, up bool) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.upstreams[name].up = up
	if !up {
		cl.upstreams[name].grants, cl.upstreams[name].fences = nil, nil
	}
}

func (cl *cluster) startLeaving(name pimento.UpstreamName) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.upstreams[name].server.State = pimento.StateLeaving
}

// heldByUpstream returns how many keys each upstream that is up holds now.
func (cl *cluster) heldByUpstream() map[pimento.UpstreamName]int {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	out := make(map[pimento.UpstreamName]int)
	for name, u := range cl.upstreams {
		for _, g := range u.grants {
			if u.up && time.Now().Before(g.until) {
				out[name] += g.Len()
			}
		}
	}
	return out
}

// heldKeyCount returns how many keys all upstreams that are up hold now.
func (cl *cluster) heldKeyCount() int {
	n := 0
	for _, keys := range cl.heldByUpstream() {
		n += keys
	}
	return n
}
