package main

import (
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"

	"pimentorelay.example/pimento"
	"pimentorelay.example/pimento/storefaker"
	"pimentorelay.example/pimento/upstreamfaker"
)

// restartDelay is the time between the exit of a terminated process and its
// restart.
const restartDelay = 300 * time.Millisecond

// injectFault injects a random fault for a duration and returns a description of
// it.
func (s *soak) injectFault(rng *rand.Rand, duration time.Duration) string {
	i, j := rng.IntN(len(s.entries)), rng.IntN(len(s.upstreamProxies))
	kind := rng.IntN(10)
	switch kind {
	case 0:
		s.entries[i].signal(syscall.SIGKILL)
		s.runAfter(duration, func() { s.restart(i) })
		return fmt.Sprintf("%s is killed for %s", s.entries[i].name, duration)
	case 1:
		s.entries[i].signal(syscall.SIGSTOP)
		s.runAfter(duration, func() { s.entries[i].signal(syscall.SIGCONT) })
		return fmt.Sprintf("%s is paused for %s", s.entries[i].name, duration)
	case 2:
		s.entries[i].signal(syscall.SIGTERM)
		s.runAfter(0, func() {
			s.entries[i].awaitExit(exitTimeout)
			time.Sleep(restartDelay)
			s.restart(i)
		})
		return s.entries[i].name + " is sent SIGTERM"
	case 3, 4:
		f := []fault{faultDelay, faultStall, faultStallResponses, faultReset}[rng.IntN(4)]
		s.upstreamProxies[j].setFault(f)
		s.runAfter(duration, func() { s.upstreamProxies[j].setFault(faultNone) })
		return fmt.Sprintf("connections to upstream %d: %s for %s", j, f, duration)
	case 5:
		f := []fault{faultDelay, faultStall, faultStallResponses, faultReset}[rng.IntN(4)]
		s.storeProxies[i].setFault(f)
		s.runAfter(duration, func() { s.storeProxies[i].setFault(faultNone) })
		return fmt.Sprintf("connections of %s to the store: %s for %s", s.entries[i].name, f, duration)
	case 6, 7:
		return s.injectStoreFault(rng, duration)
	default:
		return s.injectUpstreamFault(rng, j, duration)
	}
}

// restart waits until an entry exits and starts it again.
func (s *soak) restart(i int) {
	s.entries[i].awaitExit(exitTimeout)
	if err := s.startEntry(i); err != nil {
		fmt.Println("starting an entry:", err) // clearFaults retries
	}
}

func (s *soak) injectStoreFault(rng *rand.Rand, duration time.Duration) string {
	f := []storefaker.Faults{
		{Outage: storefaker.OutageSilent}, {Outage: storefaker.OutageBusy}, {Outage: storefaker.OutageReset}, {Outage: storefaker.OutageTooManyRequests},
		{LoseAnswers: 3}, {LateWrites: 2, LateAfter: pimento.Span(2 * time.Second)}, {Deaf: true},
		{Delay: pimento.Span(200 * time.Millisecond)},
	}[rng.IntN(8)]
	s.deployment.Store.Inject(f)
	s.runAfter(duration, func() { s.deployment.Store.Inject(storefaker.Faults{}) })
	return fmt.Sprintf("the store has faults %+v for %s", f, duration)
}

func (s *soak) injectUpstreamFault(rng *rand.Rand, j int, duration time.Duration) string {
	u := s.deployment.Upstreams[s.deployment.Config.Servers[j].Name]
	f := []upstreamfaker.Faults{
		{Freeze: true}, {Down: true}, {SlowBy: 20}, {CrossNext: 3}, {CutNext: 3}, {ExtraNext: 3},
		{LateGrant: pimento.Span(time.Second)}, {Late: pimento.Span(300 * time.Millisecond)},
	}[rng.IntN(8)]
	if rng.IntN(4) == 0 {
		u.Start() // a restart, which loses its grants
		return fmt.Sprintf("%s restarts", u.Name)
	}
	u.Inject(f)
	s.runAfter(duration, func() { u.Inject(upstreamfaker.Faults{}) })
	return fmt.Sprintf("%s has faults %+v for %s", u.Name, f, duration)
}

// clearFaults ends all faults and starts the entries that are not running.
func (s *soak) clearFaults() {
	s.deployment.Store.Inject(storefaker.Faults{})
	for _, u := range s.deployment.Upstreams {
		u.Inject(upstreamfaker.Faults{})
	}
	for _, p := range s.upstreamProxies {
		p.setFault(faultNone)
	}
	for i, p := range s.storeProxies {
		p.setFault(faultNone)
		s.entries[i].signal(syscall.SIGCONT)
		if err := s.startEntry(i); err != nil {
			fmt.Println("starting an entry:", err)
		}
	}
}
