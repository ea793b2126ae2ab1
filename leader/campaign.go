package leader

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"pimentorelay.example/pimento"
	"pimentorelay.example/pimento/appointer"
	"pimentorelay.example/pimento/messenger"
	"pimentorelay.example/pimento/timekeeper"
)

const (
	// campaignPause is the pause after a campaign, plus jitter, and the initial
	// backoff while the store does not answer. maxCampaignBackoff bounds that
	// backoff; maxSilentLeaderBackoff bounds it if the leader is silent too, since
	// then nobody renews grants.
	campaignPause          = 300 * time.Millisecond
	maxCampaignBackoff     = 3 * time.Second
	maxSilentLeaderBackoff = 800 * time.Millisecond
	// voteTimeout bounds a request for a vote, and a Join.
	voteTimeout = 350 * time.Millisecond
	// quorumLossTimeout is the silence of a leader, or a leader's time without
	// authority, after which missing processes count as lost for good. A candidate
	// then relies on the conditional write alone; doing so earlier would let a
	// minority that is cut off end the term of the others.
	quorumLossTimeout = 7 * time.Second
	// strongerHostWait is how long a process lets others on stronger hosts
	// campaign first: they may start 0.3 s later, and wait for votes of processes
	// that are gone.
	strongerHostWait = 800 * time.Millisecond
	// strongerHostFactor is how many times as strong a host must be to be waited
	// for.
	strongerHostFactor = 1.5
	// firstCampaignSpread is the time within which a process that has just started reads
	// which others there are, unless a leader finds it first. Where many start at once,
	// few have done so when one of them leads.
	firstCampaignSpread = 500 * time.Millisecond
	// callSpacing is the mean time between two calls of all processes that are no
	// confirmers while none of them has a leader. The confirmers campaign first.
	callSpacing = 10 * time.Millisecond
)

// registeredProcess is a process with the revision of its entry. Another entry
// of the same host with a higher revision means that the process has ended.
type registeredProcess struct {
	process  pimento.Process
	revision pimento.Revision
	stored   bool // read from the store, not only known from a Join
}

// listProcesses reads the registered processes from the store.
func (l *Leader) listProcesses(ctx context.Context, freshness pimento.Freshness) ([]registeredProcess, error) {
	list, err := l.Store.List(ctx, KindProcesses, freshness)
	if err != nil {
		l.StoreFailed()
		return nil, fmt.Errorf("Leader.listProcesses: %w", err)
	}
	l.recordStoreAnswer()
	var out []registeredProcess
	for _, e := range list.Entries {
		var p pimento.Process
		if err := json.Unmarshal(e.Value, &p); err != nil {
			l.Events.Emit(pimento.EventConfigInvalid, "Kind", e.Kind, "Name", e.Name, "Cause", err)
			continue
		}
		out = append(out, registeredProcess{process: p, revision: e.Revision})
	}
	return out, nil
}

// mayCampaign reports whether this process should campaign. One that has just started
// cannot tell which processes have ended before it has read which there are.
func (l *Leader) mayCampaign(now time.Time) bool {
	return l.elector.MayCampaign(now, l.ended) || !l.elector.IsLeader() && !l.knowsProcesses && !l.heardLeader
}

// campaign starts a campaign to lead the next term, unless one is running or not
// due yet.
func (l *Leader) campaign(ctx context.Context, now time.Time) {
	if l.campaigning || now.Before(l.campaignAt) {
		return
	}
	if l.leaderlessSince.IsZero() && l.knowsProcesses {
		l.leaderlessSince = now
		if spread := l.campaignSpread(); spread > 0 {
			l.campaignAt = now.Add(jitter(spread))
			return
		}
	}
	l.campaigning = true
	l.handedEpoch = 0 // its leader may have gone on since
	if l.leaderlessSince.IsZero() {
		l.leaderlessSince = now
	}
	go func() {
		s, err := l.readAssignment(ctx)
		l.post(ctx, func() {
			if err != nil {
				l.failCampaign()
				return
			}
			l.considerCampaign(ctx, s)
		})
	}()
}

// considerCampaign goes on with a campaign unless the stored assignment shows a leader. The
// first one of a process only finds that out: a leader learns of it by a Join.
func (l *Leader) considerCampaign(ctx context.Context, s storedAssignment) {
	now := timekeeper.Now()
	l.campaignBackoff.Reset()
	l.adoptAssignment(now, s, false)
	if !l.hasCampaigned {
		l.hasCampaigned, l.campaigning = true, false
		l.leaderlessSince = time.Time{} // stronger hosts are waited for from then on
		l.campaignAt = now.Add(jitter(firstCampaignSpread))
		return
	}
	if !l.mayCampaign(now) {
		l.endCampaign()
		return
	}
	go func() {
		list, err := l.listProcesses(ctx, pimento.FreshnessLatest)
		l.post(ctx, func() {
			if err != nil {
				l.failCampaign()
				return
			}
			l.knowsProcesses = true
			l.mergeProcesses(list)
			l.requestVotes(ctx)
		})
	}()
}

// failCampaign ends a campaign because the store has not answered.
func (l *Leader) failCampaign() {
	l.campaigning = false
	l.campaignAt = timekeeper.Now().Add(l.campaignRetryDelay())
}

// campaignSpread returns the time over which the processes that are no confirmers spread
// their calls to the store, zero for a confirmer.
func (l *Leader) campaignSpread() time.Duration {
	if l.assignment == nil || l.isConfirmer(l.Self.ID) {
		return 0
	}
	return 2 * callSpacing * time.Duration(len(l.assignment.Members))
}

// campaignRetryDelay returns the time until the next campaign after the store
// has not answered.
func (l *Leader) campaignRetryDelay() time.Duration {
	pause := l.campaignBackoff.Pause()
	if l.elector.LeaderSilence(timekeeper.Now()) > l.ElectorTiming.SuspectAfter {
		pause = min(pause, jitter(maxSilentLeaderBackoff))
	}
	if spread := l.campaignSpread(); spread > 0 {
		pause = max(pause, jitter(spread))
	}
	return pause
}

func (l *Leader) endCampaign() {
	l.campaigning = false
	l.campaignAt = timekeeper.Now().Add(campaignPause + jitter(campaignPause))
}

// strength returns the relative capacity of a process's host, 0 if it is unknown.
func (l *Leader) strength(id pimento.ProcessID) float64 {
	if id == l.Self.ID {
		return l.Self.Strength
	}
	for _, p := range l.registered {
		if p.process.ID == id {
			return p.process.Strength
		}
	}
	if l.assignment == nil {
		return 0
	}
	m, _ := l.assignment.Member(id)
	return m.Strength
}

// defersToStrongerHost reports whether this process should still let others on
// stronger hosts campaign first.
func (l *Leader) defersToStrongerHost(now time.Time) bool {
	if now.Sub(l.leaderlessSince) >= strongerHostWait {
		return false
	}
	for _, p := range l.registered {
		if p.process.Strength > strongerHostFactor*l.Self.Strength {
			return true
		}
	}
	return false
}

// requestVotes requests votes from the electors of the stored term. It also asks
// the processes that registered since, which may become confirmers.
func (l *Leader) requestVotes(ctx context.Context) {
	now := timekeeper.Now()
	if l.isHidden() || !l.elector.MayCampaign(now, l.ended) || l.defersToStrongerHost(now) || l.defersToIncumbent(now) {
		l.endCampaign()
		return
	}
	electors, need := l.elector.Electors(l.ended)
	request := messenger.Vote{Epoch: l.knownEpoch(), Doubtful: !l.isCertain()}
	voters := make(map[pimento.ProcessID]pimento.Process)
	for _, id := range electors {
		if p, ok := l.process(id); ok {
			voters[id] = p
		}
	}
	for _, p := range l.registered {
		if !l.isConfirmer(p.process.ID) {
			voters[p.process.ID] = p.process
		}
	}
	delete(voters, l.Self.ID)
	votes := make(chan vote, len(voters))
	for _, p := range voters {
		go func() { votes <- l.requestVote(ctx, p, request) }()
	}
	go func() {
		live := []pimento.ProcessID{l.Self.ID}
		var replies []vote
		for range len(voters) {
			v := <-votes
			if v.Granted {
				live = append(live, v.from)
			}
			replies = append(replies, v)
		}
		granted := 0
		for _, id := range live {
			if slices.Contains(electors, id) {
				granted++
			}
		}
		l.post(ctx, func() {
			l.learnFromVotes(replies)
			l.concludeVote(ctx, request.Epoch, live, granted >= need)
		})
	}()
}

// vote is the reply of a process to a request for its vote.
type vote struct {
	messenger.Vote
	from pimento.ProcessID
}

// requestVote asks a process for its vote. The vote is not granted if it does not reply.
func (l *Leader) requestVote(ctx context.Context, p pimento.Process, request messenger.Vote) vote {
	ctx, cancel := context.WithTimeout(ctx, voteTimeout)
	defer cancel()
	reply, err := l.Peers.Call(ctx, p, &messenger.Message{Vote: &request})
	if err != nil || reply.Vote == nil {
		return vote{from: p.ID}
	}
	return vote{Vote: *reply.Vote, from: p.ID}
}

// concludeVote writes the next term if a quorum of electors voted for it, or if
// the missing ones count as lost. live are the processes that voted.
func (l *Leader) concludeVote(ctx context.Context, epoch uint64, live []pimento.ProcessID, hasQuorum bool) {
	now := timekeeper.Now()
	waitForVotes := l.elector.LeaderSilence(now) < quorumLossTimeout
	if l.knownEpoch() != epoch || !hasQuorum && waitForVotes || !l.elector.MayCampaign(now, l.ended) {
		l.endCampaign()
		return
	}
	next := pimento.Assignment{NextFence: 1}
	if l.assignment != nil {
		next = l.assignment.Clone()
	}
	next.Term = l.elector.NextTerm(l.eligible(live), l.ended)
	next.Term.Epoch = max(next.Term.Epoch, l.knownEpoch()+1)
	next.EnterEra(l.revision.Era, true)
	if next.Restored || !l.knowsLatest() {
		next.RestoreFromCopy()
	}
	next.Members = l.assignmentMembers(&next, func(id pimento.ProcessID) bool {
		return l.isConfirmer(id) && !slices.Contains(live, id)
	})
	next.Pools = appointer.PreferenceLists(next.Pools, l.serviceSizes(), next.Members)
	restored := next.Restored
	l.writeAssignment(ctx, next, l.revision, func(s storedAssignment, won bool) {
		l.endCampaign()
		l.adoptAssignment(timekeeper.Now(), s, won)
		if !won {
			return
		}
		if restored {
			l.Events.Emit(pimento.EventCopyTaken, "Epoch", s.assignment.Term.Epoch, "Revision", s.revision)
		}
		l.step(ctx)
	})
}

// isConfirmer reports whether a process is a confirmer of the current term.
func (l *Leader) isConfirmer(id pimento.ProcessID) bool {
	return slices.Contains(l.elector.Term().Confirmers, id)
}

// isHidden reports whether the store shows another process of this host, since this one
// has not registered yet.
func (l *Leader) isHidden() bool {
	current, ok := l.registered[l.Self.Host]
	return ok && current.process.ID != l.Self.ID
}

// eligible returns the processes of a list that may become confirmers: the present ones
// and those that the store has shown. A reading that shows another process in place of a
// confirmer is then later, so that the confirmer has ended.
func (l *Leader) eligible(list []pimento.ProcessID) []pimento.ProcessID {
	var out []pimento.ProcessID
	for _, id := range list {
		if id == l.Self.ID || l.isConfirmer(id) {
			out = append(out, id)
			continue
		}
		p, ok := l.process(id)
		if current := l.registered[p.Host]; ok && current.stored && current.process.ID == id {
			out = append(out, id)
		}
	}
	return out
}
