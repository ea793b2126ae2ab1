package main

import (
	"errors"
	"fmt"
	"slices"

	"pimentorelay.example/pimento"
	"pimentorelay.example/pimento/sender"
	"pimentorelay.example/pimento/upstreamfaker"
)

// maxFaults is the most broken promises of one kind that are told.
const maxFaults = 5

// check compares what callers saw with what upstreams ran.
func (s *soak) check(stream *sender.Stream) error {
	var faults []error
	for i, w := range stream.Summary().Wrong {
		if i < maxFaults {
			faults = append(faults, fmt.Errorf("a wrong answer was taken as whole: %s", w))
		}
	}
	if err := s.deployment.CheckRuns(stream.OrderOutcomes()); err != nil {
		faults = append(faults, err)
	}
	for name, u := range s.deployment.Upstreams {
		if r := u.Report(); r.FellOver > 0 {
			faults = append(faults, fmt.Errorf("%s was cold and got more than it bears %d times; it last started at %s",
				name, r.FellOver, r.Started.Format("05.000")))
		}
	}
	return errors.Join(append(faults, s.checkOwners()...)...)
}

// keyRun is a run of a key at an upstream.
type keyRun struct {
	upstreamfaker.Run
	upstream pimento.UpstreamName
}

// checkOwners looks for two upstreams that ran requests for one key at the same
// time.
func (s *soak) checkOwners() []error {
	byKey := make(map[pimento.Key][]keyRun)
	for _, c := range s.deployment.Config.Servers {
		service, _ := s.deployment.Config.Service(c.Service)
		if service.Sharing != pimento.SharingKeyed {
			continue
		}
		for _, r := range s.deployment.Upstreams[c.Name].Journal() {
			byKey[r.Key] = append(byKey[r.Key], keyRun{Run: r, upstream: c.Name})
		}
	}
	var faults []error
	for key, runs := range byKey {
		slices.SortFunc(runs, func(a, b keyRun) int { return a.Started.Compare(b.Started) })
		for i := 1; i < len(runs); i++ {
			a, b := runs[i-1], runs[i]
			if a.upstream != b.upstream && b.Started.Before(a.Ended) && len(faults) < maxFaults {
				faults = append(faults, fmt.Errorf("key %d ran at %s until %s and at %s from %s on", key,
					a.upstream, a.Ended.Format("05.000"), b.upstream, b.Started.Format("05.000")))
			}
		}
	}
	return faults
}
