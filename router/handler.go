package router

import (
	"pimentorelay.example/pimento/messenger"
)

// handler dispatches messages of other processes to the parts of the Router.
type handler Router

var _ messenger.Handler = (*handler)(nil)

// Handle implements messenger.Handler.
func (h *handler) Handle(from *messenger.Link, m *messenger.Message, reply func(*messenger.Message)) {
	switch {
	case m.Acquire != nil && reply != nil:
		h.admitter.HandleAcquire(from, m.Call, m.Acquire, reply)
	case m.Done != nil:
		h.admitter.HandleDone(m.Done)
	case m.Heartbeat != nil && reply != nil:
		h.leader.HandleHeartbeat(from.Peer.ID, m.Heartbeat, reply)
	case m.Vote != nil && reply != nil:
		h.leader.HandleVote(m.Vote, reply)
	case m.State != nil && reply != nil:
		h.leader.HandleState(from.Peer.ID, m.State, reply)
	case m.BeginRecord != nil && reply != nil:
		h.registrar.HandleBeginRecord(m.BeginRecord, reply)
	case m.Finish != nil && reply != nil:
		h.registrar.HandleFinish(m.Finish, reply)
	case m.Copy != nil && reply != nil:
		h.registrar.HandleCopy(m.Copy, reply)
	case m.Join != nil:
		h.leader.HandleJoin(m.Join.Process)
	}
}

// Canceled implements messenger.Handler.
func (h *handler) Canceled(from *messenger.Link, call uint64) { h.admitter.HandleCanceled(from, call) }

// Closed implements messenger.Handler.
func (h *handler) Closed(from *messenger.Link) {
	h.admitter.HandleClosed(from)
	h.registrar.HandleClosed(from.Peer.ID)
}
