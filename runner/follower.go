package runner

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"pimentorelay.example/pimento"
)

// watchPause is the time between two tries of a watch that failed.
const watchPause = 100 * time.Millisecond

// storedPlan is a plan with the version of its object.
type storedPlan struct {
	plan    pimento.Plan
	version uint64
}

// storedConfig is a configuration with the version of its object.
type storedConfig struct {
	config  pimento.Config
	version uint64
}

// follower learns plans and configurations from the platform.
type follower struct {
	node *Node

	mu     sync.Mutex
	plan   storedPlan
	config storedConfig
	missed bool // the platform gave no answer last time
}

// stored returns what the platform was last seen to hold.
func (f *follower) stored() (storedPlan, storedConfig) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.plan, f.config
}

func (f *follower) followPlan(ctx context.Context) error {
	return f.follow(ctx, pimento.ObjectPlan, func(o pimento.Object) error {
		var p pimento.Plan
		if err := json.Unmarshal(o.Value, &p); err != nil {
			return err
		}
		if err := p.Validate(); err != nil {
			return err
		}
		f.storePlan(p, o.Version)
		return nil
	})
}

// storePlan notes a plan that stands in the platform.
func (f *follower) storePlan(p pimento.Plan, version uint64) {
	f.mu.Lock()
	if version > f.plan.version {
		f.plan = storedPlan{plan: p, version: version}
	}
	f.mu.Unlock()
	f.node.core.send(func(c *core) { c.learn(p) })
}

func (f *follower) followConfig(ctx context.Context) error {
	return f.follow(ctx, pimento.ObjectConfig, func(o pimento.Object) error {
		var config pimento.Config
		if err := json.Unmarshal(o.Value, &config); err != nil {
			return err
		}
		if err := config.Validate(); err != nil {
			return err
		}
		f.mu.Lock()
		f.config = storedConfig{config: config, version: o.Version}
		f.mu.Unlock()
		return nil
	})
}

// follow watches an object until ctx ends.
func (f *follower) follow(ctx context.Context, key string, take func(pimento.Object) error) error {
	var version uint64
	for {
		o, err := f.node.Platform.Watch(ctx, key, version)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		f.note(err)
		if err != nil {
			pause(ctx, watchPause)
			continue
		}
		version = o.Version
		if err := take(o); err != nil {
			f.node.events.Emit(pimento.EventConfigInvalid, "Object", key, "Version", o.Version, "Cause", err)
		}
	}
}

// note records when the platform falls silent and when it is back.
func (f *follower) note(err error) {
	var lost *pimento.UnreachableError
	missed := errors.As(err, &lost)
	f.mu.Lock()
	changed := missed != f.missed
	f.missed = missed
	f.mu.Unlock()
	switch {
	case changed && missed:
		f.node.events.Emit(pimento.EventPlatformLost, "Cause", err)
	case changed:
		f.node.events.Emit(pimento.EventPlatformBack)
	}
}

func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
