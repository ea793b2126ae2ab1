package runner

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"pimentorelay.example/pimento"
)

// register puts this process's object into the platform, however long the
// platform takes to answer.
func (n *Node) register(ctx context.Context) error {
	value, err := json.Marshal(n.self)
	if err != nil {
		return fmt.Errorf("Node.register: %w", err)
	}
	for {
		_, err := n.Platform.Put(ctx, n.objectKey(), 0, value)
		var conflict *pimento.ConflictError
		if err == nil || errors.As(err, &conflict) { // an earlier try took effect
			n.events.Emit(pimento.EventRegistered, "Process", n.self.ID)
			n.remember([]pimento.Process{n.self})
			return nil
		}
		n.events.Emit(pimento.EventPlatformLost, "Cause", err)
		select {
		case <-time.After(registerPause):
		case <-ctx.Done():
			return fmt.Errorf("Node.register: %w", ctx.Err())
		}
	}
}

func (n *Node) objectKey() string { return pimento.ObjectProcessPrefix + string(n.self.ID) }

// unregister removes the process's object. The others then know that it has
// ended.
func (n *Node) unregister() {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	o, err := n.Platform.Get(ctx, n.objectKey())
	if err != nil {
		return // a later process on this address supersedes it
	}
	if err := n.Platform.Delete(ctx, n.objectKey(), o.Version); err != nil {
		n.events.Emit(pimento.EventPlatformLost, "Cause", err)
	}
}
