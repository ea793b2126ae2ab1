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

// restartPause is how long a process that ended by itself stays away.
const restartPause = 300 * time.Millisecond

// strike brings one drawn failure about, which lasts for a span, and says which.
func (s *soak) strike(rng *rand.Rand, span time.Duration) string {
	i, j := rng.IntN(len(s.entries)), rng.IntN(len(s.proxies))
	kind := rng.IntN(10)
	switch kind {
	case 0:
		s.entries[i].signal(syscall.SIGKILL)
		s.after(span, func() { s.restart(i) })
		return fmt.Sprintf("%s is killed for %s", s.entries[i].name, span)
	case 1:
		s.entries[i].signal(syscall.SIGSTOP)
		s.after(span, func() { s.entries[i].signal(syscall.SIGCONT) })
		return fmt.Sprintf("%s is paused for %s", s.entries[i].name, span)
	case 2:
		s.entries[i].signal(syscall.SIGTERM)
		s.after(0, func() {
			s.entries[i].wait(endWait)
			time.Sleep(restartPause)
			s.restart(i)
		})
		return s.entries[i].name + " is told to end"
	case 3, 4:
		t := []trouble{troubleDelay, troubleSilence, troubleOneWay, troubleReset}[rng.IntN(4)]
		s.proxies[j].set(t)
		s.after(span, func() { s.proxies[j].set(troubleNone) })
		return fmt.Sprintf("connections to upstream %d: %s for %s", j, t, span)
	case 5:
		t := []trouble{troubleDelay, troubleSilence, troubleOneWay, troubleReset}[rng.IntN(4)]
		s.stores[i].set(t)
		s.after(span, func() { s.stores[i].set(troubleNone) })
		return fmt.Sprintf("connections of %s to the store: %s for %s", s.entries[i].name, t, span)
	case 6, 7:
		return s.strikeStore(rng, span)
	default:
		return s.strikeUpstream(rng, j, span)
	}
}

// restart starts an entry again once it has ended.
func (s *soak) restart(i int) {
	s.entries[i].wait(endWait)
	if err := s.startEntry(i); err != nil {
		fmt.Println("an entry did not start:", err) // the end of the run finds it missing
	}
}

func (s *soak) strikeStore(rng *rand.Rand, span time.Duration) string {
	f := []storefaker.Faults{
		{Outage: storefaker.OutageSilent}, {Outage: storefaker.OutageBusy}, {Outage: storefaker.OutageReset}, {Outage: storefaker.OutageMany},
		{LoseAnswers: 3}, {LateWrites: 2, LateAfter: pimento.Span(2 * time.Second)}, {Deaf: true},
		{Delay: pimento.Span(200 * time.Millisecond)},
	}[rng.IntN(8)]
	s.deployment.Store.Inject(f)
	s.after(span, func() { s.deployment.Store.Inject(storefaker.Faults{}) })
	return fmt.Sprintf("the store shows %+v for %s", f, span)
}

func (s *soak) strikeUpstream(rng *rand.Rand, j int, span time.Duration) string {
	u := s.deployment.Upstreams[s.deployment.Config.Servers[j].Name]
	f := []upstreamfaker.Faults{
		{Freeze: true}, {Down: true}, {SlowBy: 20}, {CrossNext: 3}, {CutNext: 3}, {ExtraNext: 3},
		{LateGrant: pimento.Span(time.Second)}, {Late: pimento.Span(300 * time.Millisecond)},
	}[rng.IntN(8)]
	if rng.IntN(4) == 0 {
		u.Start() // it starts again and has forgotten its grants
		return fmt.Sprintf("%s starts again", u.Name)
	}
	u.Inject(f)
	s.after(span, func() { u.Inject(upstreamfaker.Faults{}) })
	return fmt.Sprintf("%s shows %+v for %s", u.Name, f, span)
}

// heal ends all failures.
func (s *soak) heal() {
	s.deployment.Store.Inject(storefaker.Faults{})
	for _, u := range s.deployment.Upstreams {
		u.Inject(upstreamfaker.Faults{})
	}
	for _, p := range s.proxies {
		p.set(troubleNone)
	}
	for i, p := range s.stores {
		p.set(troubleNone)
		s.entries[i].signal(syscall.SIGCONT)
		if err := s.startEntry(i); err != nil {
			fmt.Println("an entry did not start:", err)
		}
	}
}
