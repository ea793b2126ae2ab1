package main

import (
	"errors"
	"fmt"
	"slices"

	"pimentorelay.example/pimento"
	"pimentorelay.example/pimento/sender"
	"pimentorelay.example/pimento/upstreamfaker"
)

// maxViolations limits the wrong answers, and the overlapping runs, that are
// reported.
const maxViolations = 5

// check compares the outcomes that callers received with the requests that
// upstreams ran, and reports upstreams that were overloaded while cold.
func (s *soak) check(stream *sender.Stream) error {
	var violations []error
	for i, w := range stream.Summary().Wrong {
		if i < maxViolations {
			violations = append(violations, fmt.Errorf("caller received a complete but wrong answer: %s", w))
		}
	}
	if err := s.deployment.CheckRuns(stream.OrderOutcomes()); err != nil {
		violations = append(violations, err)
	}
	for name, u := range s.deployment.Upstreams {
		if r := u.Report(); r.FellOver > 0 {
			violations = append(violations, fmt.Errorf("%s was overloaded while cold %d times; it last started at %s",
				name, r.FellOver, r.Started.Format("05.000")))
		}
	}
	return errors.Join(append(violations, s.checkExclusiveOwnership()...)...)
}

// keyRun is a run of a request for a key, with its upstream.
type keyRun struct {
	upstreamfaker.Run
	upstream pimento.UpstreamName
}

// checkExclusiveOwnership reports requests for one key that ran at two upstreams
// at the same time. It compares each run only with the one started just before it.
func (s *soak) checkExclusiveOwnership() []error {
	byKey := make(map[pimento.Key][]keyRun)
	for _, server := range s.deployment.Config.Servers {
		service, _ := s.deployment.Config.Service(server.Service)
		if service.Sharing != pimento.SharingKeyed {
			continue
		}
		for _, r := range s.deployment.Upstreams[server.Name].Journal() {
			byKey[r.Key] = append(byKey[r.Key], keyRun{Run: r, upstream: server.Name})
		}
	}
	var violations []error
	for key, runs := range byKey {
		slices.SortFunc(runs, func(a, b keyRun) int { return a.Started.Compare(b.Started) })
		for i := 1; i < len(runs); i++ {
			a, b := runs[i-1], runs[i]
			if a.upstream != b.upstream && b.Started.Before(a.Ended) && len(violations) < maxViolations {
				violations = append(violations, fmt.Errorf("key %d ran at %s until %s and at %s from %s", key,
					a.upstream, a.Ended.Format("05.000"), b.upstream, b.Started.Format("05.000")))
			}
		}
	}
	return violations
}
