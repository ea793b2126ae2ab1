package router

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"pimentorelay.example/pimento"
	"pimentorelay.example/pimento/leader"
	"pimentorelay.example/pimento/timekeeper"
)

const (
	// minRegisterRetry and maxRegisterRetry bound the backoff after failed attempts to
	// register.
	minRegisterRetry = 200 * time.Millisecond
	maxRegisterRetry = 2 * time.Second
)

// register writes this process's entry to the store, replacing that of an
// earlier run on this host. It retries until it succeeds or ctx ends.
func (r *Router) register(ctx context.Context) error {
	value, err := json.Marshal(r.self)
	if err != nil {
		return err
	}
	e := pimento.Entry{Kind: leader.KindProcesses, Name: string(r.self.Host), Value: value}
	backoff := timekeeper.Backoff{Initial: minRegisterRetry, Max: maxRegisterRetry}
	for ctx.Err() == nil {
		if r.tryRegister(ctx, e, false) {
			r.leader.StoreAnswered(timekeeper.Now())
			r.events.Emit(pimento.EventRegistered, "Process", r.self.ID)
			if r.OnRegistered != nil {
				r.OnRegistered(r.self)
			}
			r.keepRegistered(ctx, e)
			return ctx.Err()
		}
		sleep(ctx, backoff.Pause())
	}
	return ctx.Err()
}

// keepRegistered registers again whenever the store was restored from a copy, which may
// show no process of this host or an earlier one, until ctx ends.
func (r *Router) keepRegistered(ctx context.Context, e pimento.Entry) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.restored:
		}
		backoff := timekeeper.Backoff{Initial: minRegisterRetry, Max: maxRegisterRetry}
		for ctx.Err() == nil && !r.tryRegister(ctx, e, true) {
			sleep(ctx, backoff.Pause())
		}
	}
}

// tryRegister makes one attempt and reports whether the entry is stored. A process that
// registers again leaves the entry of a later one of its host.
func (r *Router) tryRegister(ctx context.Context, e pimento.Entry, again bool) bool {
	_, err := r.Store.Create(ctx, e)
	var exists *pimento.ExistsError
	if err == nil {
		return true
	}
	if !errors.As(err, &exists) {
		return false
	}
	if string(exists.Current.Value) != "" {
		var p pimento.Process
		if json.Unmarshal(exists.Current.Value, &p) == nil && (p.ID == r.self.ID || again && p.Started.After(r.self.Started)) {
			return true
		}
	}
	e.Revision = exists.Current.Revision
	_, err = r.Store.Replace(ctx, e)
	return err == nil
}
