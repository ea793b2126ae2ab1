package runner

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"pimentorelay.example/pimento"
)

const (
	// heartbeatPause is how often the heartbeater looks whom to ask.
	heartbeatPause = 10 * time.Millisecond
	// askTimeout bounds one heartbeat.
	askTimeout = 200 * time.Millisecond
	// reportEvery is the time between two load reports.
	reportEvery = 500 * time.Millisecond
	// repairTime is how long it takes to make a lost copy of a record anew.
	repairTime = 3 * time.Second
)

// Process implements carrier.Directory.
func (n *Node) Process(ctx context.Context, id pimento.ProcessID) (pimento.Process, error) {
	n.directoryMu.Lock()
	p, ok := n.directory[id]
	n.directoryMu.Unlock()
	if ok {
		return p, nil
	}
	o, err := n.Platform.Get(ctx, pimento.ObjectProcessPrefix+string(id))
	if err != nil {
		return pimento.Process{}, fmt.Errorf("Node.Process: %w", err)
	}
	if err := json.Unmarshal(o.Value, &p); err != nil {
		return pimento.Process{}, fmt.Errorf("Node.Process: %w", err)
	}
	if p.ID != id {
		return pimento.Process{}, fmt.Errorf("Node.Process: object of %q holds process %q", id, p.ID)
	}
	n.remember([]pimento.Process{p})
	return p, nil
}

// remember keeps processes for the check of certificates.
func (n *Node) remember(list []pimento.Process) {
	n.directoryMu.Lock()
	defer n.directoryMu.Unlock()
	for _, p := range list {
		n.directory[p.ID] = p
	}
}

// Confirm implements carrier.Handler.
func (n *Node) Confirm(ctx context.Context, ask pimento.ConfirmAsk) (pimento.ConfirmAnswer, error) {
	n.events.Observe(ask.Stamp)
	answer, err := query(ctx, n.core, func(c *core) pimento.ConfirmAnswer {
		now := time.Now()
		c.hear(now, ask)
		if ask.Epoch > c.plans.Epoch {
			n.fetchPlan(ask.From)
		}
		return c.confirm.Ask(now, ask)
	})
	answer.Stamp = n.events.Stamp()
	return answer, err
}

// Handover implements carrier.Handler.
func (n *Node) Handover(ctx context.Context, ask pimento.HandoverAsk) (pimento.HandoverAnswer, error) {
	type reply struct {
		answer pimento.HandoverAnswer
		plan   *pimento.Plan
	}
	r, err := query(ctx, n.core, func(c *core) reply {
		if ask.Epoch > c.plans.Epoch {
			n.fetchPlan(ask.From)
		}
		c.step(ctx)
		return reply{answer: c.claim.Asked(ask), plan: c.plans}
	})
	if err == nil && r.answer.Epoch == ask.Epoch {
		r.answer.Records = n.recordsOf(r.plan, ask.Gather)
	}
	return r.answer, err
}

// recordsOf returns the records of slices, as dispatcher and as witness.
func (n *Node) recordsOf(plan *pimento.Plan, gather []pimento.SliceID) []pimento.Record {
	if len(gather) == 0 {
		return nil
	}
	now, match := time.Now(), inSlices(plan, gather)
	return append(n.book.Select(now, match), n.witnessed.Select(now, match)...)
}

// inSlices matches the records of slices.
func inSlices(plan *pimento.Plan, list []pimento.SliceID) func(*pimento.Record) bool {
	return func(r *pimento.Record) bool {
		id, ok := plan.Lookup(r.Slice.Service, r.KeyHash)
		return ok && slices.Contains(list, id)
	}
}

// CurrentPlan implements carrier.Handler.
func (n *Node) CurrentPlan() *pimento.Plan { return n.core.plan() }

// Record implements carrier.Handler.
func (n *Node) Record(_ context.Context, r pimento.Record) error {
	if r.State == "" {
		n.witnessed.Remove(r.ID)
		return nil
	}
	n.witnessed.Merge(time.Now(), []pimento.Record{r})
	return nil
}

// fetchPlan gets a newer plan from a peer.
func (n *Node) fetchPlan(from pimento.ProcessID) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		peer, err := n.Process(ctx, from)
		if err != nil {
			return // the watch of the plan learns it too
		}
		plan, err := n.carrier.Plan(ctx, peer)
		if err != nil {
			return
		}
		n.core.send(func(c *core) { c.learn(plan) })
	}()
}

// askHandover asks a peer about rights and merges its records.
func (n *Node) askHandover(ctx context.Context, peer pimento.Process, ask pimento.HandoverAsk) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	answer, err := n.carrier.Handover(ctx, peer, ask)
	if err != nil {
		return // asked again with the next step
	}
	if answer.Epoch > ask.Epoch {
		n.fetchPlan(peer.ID)
	}
	n.core.send(func(c *core) {
		if answer.Epoch == c.plans.Epoch {
			n.book.Merge(time.Now(), answer.Records)
		}
		c.claim.Answered(time.Now(), ask, answer)
	})
}

// beat is the state of the heartbeats to one peer.
type beat struct {
	next    time.Time
	busy    bool
	reports []pimento.UpstreamReport // to be sent with the next question
	loads   []pimento.SliceLoad
}

// round is what the questions of one round have in common.
type round struct {
	peers []pimento.ProcessID
	epoch uint64
	lost  []pimento.UpstreamName
}

// heartbeat asks every confirmer, each at its own pace, so that a slow one
// delays no other.
func (n *Node) heartbeat(ctx context.Context) error {
	beats := make(map[pimento.ProcessID]*beat)
	done := make(chan pimento.ProcessID, inboxSize)
	ticker := time.NewTicker(heartbeatPause)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case id := <-done:
			if b, ok := beats[id]; ok {
				b.busy = false
			}
		case <-ticker.C:
			if err := n.beatAll(ctx, beats, done); err != nil {
				return err
			}
		}
	}
}

// beatAll sends the questions that are due.
func (n *Node) beatAll(ctx context.Context, beats map[pimento.ProcessID]*beat, done chan<- pimento.ProcessID) error {
	now := time.Now()
	ask := pimento.ConfirmAsk{From: n.self.ID, Leaving: n.leaving.Load()}
	r, err := query(ctx, n.core, func(c *core) round {
		c.hear(now, pimento.ConfirmAsk{From: n.self.ID, Leaving: ask.Leaving})
		return round{peers: c.confirm.Peers(), epoch: c.confirm.Epoch(), lost: c.confirm.Withdrawn().Upstreams}
	})
	if err != nil {
		return err
	}
	ask.Epoch, ask.Lost = r.epoch, r.lost
	var reports []pimento.UpstreamReport
	var loads []pimento.SliceLoad
	if !now.Before(n.reportAt) {
		reports, loads = n.dispatcher.Reports(now)
		n.reportAt = now.Add(reportEvery)
		for _, b := range beats {
			b.reports, b.loads = reports, loads
		}
		n.core.send(func(c *core) {
			c.hear(now, pimento.ConfirmAsk{From: n.self.ID, Leaving: ask.Leaving, Reports: reports, Loads: loads})
		})
	}
	for _, id := range r.peers {
		b, ok := beats[id]
		if !ok {
			b = &beat{}
			beats[id] = b
		}
		if b.busy || now.Before(b.next) {
			continue
		}
		b.busy, b.next = true, now.Add(n.Timing.Heartbeat)
		q := ask
		q.Reports, q.Loads = b.reports, b.loads
		b.reports, b.loads = nil, nil
		go n.ask(ctx, id, q, done)
	}
	return nil
}

// ask sends one question and hands the answer to the core.
func (n *Node) ask(ctx context.Context, id pimento.ProcessID, ask pimento.ConfirmAsk, done chan<- pimento.ProcessID) {
	defer func() { done <- id }()
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	peer, err := n.Process(ctx, id)
	if err != nil {
		return // it is suspected when it stays silent
	}
	ask.Stamp = n.events.Stamp()
	sentAt := time.Now()
	answer, err := n.carrier.Confirm(ctx, peer, ask)
	if err != nil {
		return
	}
	n.events.Observe(answer.Stamp)
	if answer.Epoch > ask.Epoch {
		n.fetchPlan(id)
	}
	n.core.send(func(c *core) { c.confirm.Answer(time.Now(), sentAt, answer) })
}

// witness lets a process in another failure domain keep a record, and returns
// which one does.
func (n *Node) witness(ctx context.Context, r pimento.Record) (pimento.ProcessID, error) {
	v := n.core.current.Load()
	for _, far := range []bool{true, false} {
		for _, p := range v.plan.Processes {
			fits := p.ID != n.self.ID && !v.withdrawn.HasProcess(p.ID) && far == (p.Domain != n.self.Domain)
			if !fits {
				continue
			}
			r.Witness = p.ID
			if err := n.carrier.Record(ctx, p, r); err == nil {
				return p.ID, nil
			}
		}
	}
	if len(v.plan.Processes) > 1 {
		return "", fmt.Errorf("Node.witness: none of %d processes keeps the record", len(v.plan.Processes)-1)
	}
	return "", nil
}

// replaceWitness finds a new witness for records whose witness is gone.
func (n *Node) replaceWitness(gone pimento.ProcessID) {
	records := n.book.Select(time.Now(), func(r *pimento.Record) bool { return r.Witness == gone })
	for _, r := range records {
		ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
		id, err := n.witness(ctx, r)
		cancel()
		if err != nil {
			n.events.Emit(pimento.EventRecordsLost, "Request", r.ID, "Cause", err)
			continue
		}
		n.book.SetWitness(r.ID, id)
	}
}

// Serve implements carrier.Handler.
func (n *Node) Serve(ctx context.Context, from pimento.ProcessID, head pimento.RequestHead, witness pimento.Witnessing, body pimento.Body) (pimento.Answer, error) {
	return n.dispatcher.Serve(ctx, from, head, witness, body)
}
