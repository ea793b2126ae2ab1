package leader

import (
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"pimentorelay.example/pimento"
)

// storeCopy is the content of the store after a change.
type storeCopy struct {
	at       time.Time
	entries  map[string]pimento.Entry
	revision uint64
}

// storeLogTime is the age of the oldest copy from which the store can be restored.
const storeLogTime = 30 * time.Second

// save stores an entry under the next revision. The caller holds mu.
func (cl *cluster) save(key string, e pimento.Entry) pimento.Entry {
	cl.revision.Number++
	e.Revision = cl.revision
	cl.store[key] = e
	now := time.Now()
	cl.storeLog = slices.DeleteFunc(cl.storeLog, func(c storeCopy) bool { return now.Sub(c.at) > storeLogTime })
	cl.storeLog = append(cl.storeLog, storeCopy{at: now, entries: maps.Clone(cl.store), revision: cl.revision.Number})
	return e
}

// inPresentEra returns an entry as the store answers it: its answers name the present
// era. The caller holds mu.
func (cl *cluster) inPresentEra(e pimento.Entry) pimento.Entry {
	e.Revision.Era = cl.revision.Era
	return e
}

// restoreStore brings the store back as it was some time ago, in a new era.
func (cl *cluster) restoreStore(age time.Duration) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	if cl.keepsStore {
		return
	}
	at := time.Now().Add(-age)
	copied := storeCopy{entries: make(map[string]pimento.Entry)}
	for _, c := range cl.storeLog {
		if !c.at.After(at) {
			copied = c
		}
	}
	cl.storeLog = slices.DeleteFunc(cl.storeLog, func(c storeCopy) bool { return c.at.After(at) })
	cl.store = maps.Clone(copied.entries)
	cl.staleStore = nil
	cl.revision = pimento.Revision{Era: cl.revision.Era + 1, Number: copied.revision}
}

// The store, as accessed by a process.

// cutFromStore drops all messages between a host and the store.
func (cl *cluster) cutFromStore(host pimento.HostName) {
	cl.cutLink(string(host), storeName)
	cl.cutLink(storeName, string(host))
}

// healStore ends the cut between a host and the store.
func (cl *cluster) healStore(host pimento.HostName) { cl.healLinks(string(host), storeName) }

const storeName = "store"

var errNoAnswer = errors.New("no answer")

func (p *process) storeCall(ctx context.Context, operation func() error) error {
	ctx, cancel := context.WithTimeout(ctx, 1200*time.Millisecond)
	defer cancel()
	unreachable := &pimento.UnreachableError{Target: storeName, Cause: errNoAnswer}
	host := string(p.self.Host)
	p.cluster.pause(p.self.Host)
	if !p.cluster.deliver(ctx, host, storeName) {
		return unreachable
	}
	p.cluster.mu.Lock()
	p.cluster.storeCalls++
	down := p.cluster.storeDown
	p.cluster.mu.Unlock()
	if down {
		return &pimento.BusyError{Status: 503}
	}
	err := operation()
	if !p.cluster.deliver(ctx, storeName, host) {
		return unreachable
	}
	p.cluster.pause(p.self.Host)
	return err
}

func (p *process) storeWrite(ctx context.Context, operation func() error) error {
	switch {
	case p.cluster.happens(&p.cluster.lateWriteRate):
		p.cluster.spawn(func() {
			sleep(p.cluster.ctx, p.cluster.randomDuration(time.Second, 6*time.Second))
			operation() // takes effect if its condition still holds
		})
		sleep(ctx, 1200*time.Millisecond)
		return &pimento.UnreachableError{Target: storeName, Cause: errNoAnswer}
	case p.cluster.happens(&p.cluster.lostAnswerRate):
		if err := p.storeCall(ctx, operation); err != nil {
			return err
		}
		sleep(ctx, 1200*time.Millisecond)
		return &pimento.UnreachableError{Target: storeName, Cause: errNoAnswer}
	}
	return p.storeCall(ctx, operation)
}

// Get implements pimento.Store.
func (p *process) Get(ctx context.Context, kind pimento.StoreKind, name string) (pimento.Entry, error) {
	var out pimento.Entry
	err := p.storeCall(ctx, func() error {
		p.cluster.mu.Lock()
		defer p.cluster.mu.Unlock()
		e, ok := p.cluster.store[string(kind)+"/"+name]
		if !ok {
			return &pimento.NotFoundError{Object: name, Era: p.cluster.revision.Era}
		}
		out = p.cluster.inPresentEra(e)
		return nil
	})
	return out, err
}

// List implements pimento.Store.
func (p *process) List(ctx context.Context, kind pimento.StoreKind, fresh pimento.Freshness) (pimento.Listing, error) {
	var out pimento.Listing
	err := p.storeCall(ctx, func() error {
		p.cluster.mu.Lock()
		defer p.cluster.mu.Unlock()
		if kind == KindProcesses {
			p.cluster.processLists[p.self.Host]++
		}
		store := p.cluster.store
		if fresh == pimento.FreshnessStale && p.cluster.staleStore != nil {
			store = p.cluster.staleStore
		}
		for _, e := range store {
			if e.Kind == kind {
				out.Entries = append(out.Entries, p.cluster.inPresentEra(e))
			}
		}
		out.Revision = p.cluster.revision
		return nil
	})
	return out, err
}

// Watch implements pimento.Store.
func (p *process) Watch(context.Context, pimento.StoreKind, pimento.Revision, time.Duration) (pimento.Changes, error) {
	panic("not used here")
}

// Create implements pimento.Store.
func (p *process) Create(ctx context.Context, e pimento.Entry) (pimento.Entry, error) {
	return p.conditionalWrite(ctx, e, pimento.Revision{})
}

// Replace implements pimento.Store.
func (p *process) Replace(ctx context.Context, e pimento.Entry) (pimento.Entry, error) {
	return p.conditionalWrite(ctx, e, e.Revision)
}

func (p *process) conditionalWrite(ctx context.Context, e pimento.Entry, base pimento.Revision) (pimento.Entry, error) {
	var out pimento.Entry
	err := p.storeWrite(ctx, func() error {
		p.cluster.mu.Lock()
		defer p.cluster.mu.Unlock()
		key := string(e.Kind) + "/" + e.Name
		old, exists := p.cluster.store[key]
		old = p.cluster.inPresentEra(old)
		if exists && base.IsZero() {
			return &pimento.ExistsError{Current: old}
		}
		if base.IsZero() {
			out = p.cluster.save(key, e)
			return nil
		}
		if !exists {
			return &pimento.NotFoundError{Object: key, Era: p.cluster.revision.Era}
		}
		if old.Revision.Number != base.Number {
			return &pimento.ConflictError{Object: key, BaseVersion: base.Number, Current: old.Revision.Number, Entry: old}
		}
		out = p.cluster.save(key, e)
		return nil
	})
	p.cluster.mu.Lock() // a late write may assign out now
	defer p.cluster.mu.Unlock()
	return out, err
}

// Delete implements pimento.Store.
func (p *process) Delete(context.Context, pimento.Entry) error { panic("not used here") }

// Upstreams implements pimento.Source.
func (p *process) Upstreams(ctx context.Context) ([]pimento.Server, error) {
	var out []pimento.Server
	err := p.storeCall(ctx, func() error {
		p.cluster.mu.Lock()
		defer p.cluster.mu.Unlock()
		for _, u := range p.cluster.upstreams {
			if u.listed {
				out = append(out, u.server)
			}
		}
		return nil
	})
	return out, err
}

// DomainsOut implements pimento.Source.
func (p *process) DomainsOut(ctx context.Context, after pimento.Revision, wait time.Duration) ([]pimento.DomainName, bool, pimento.Revision, error) {
	if !after.IsZero() {
		sleep(ctx, wait)
	}
	err := p.storeCall(ctx, func() error { return nil })
	return nil, after.IsZero(), pimento.Revision{Number: 1}, err
}

// Manifest implements pimento.Source. The manifest never changes here.
func (p *process) Manifest(context.Context, pimento.Revision, time.Duration) ([]byte, pimento.Revision, error) {
	return nil, pimento.Revision{Number: 1}, nil
}

// DecodeManifest implements pimento.Source.
func (p *process) DecodeManifest([]byte) (pimento.Manifest, error) { return pimento.Manifest{}, nil }
