package leader

import (
	"slices"
	"testing"
	"time"

	"pimentorelay.example/pimento"
	"pimentorelay.example/pimento/quarantiner"
)

const (
	// maxLateRetries is how many retries of a request may reach upstreams later than
	// crashNoticeTime after it has crashed the third.
	maxLateRetries  = 3
	crashNoticeTime = 3 * time.Second
	crashing        = quarantiner.Fingerprint(7)
)

// crashCase is a fault beside a request that crashes every upstream.
type crashCase struct {
	name   string
	lasts  time.Duration                            // how long the request is sent
	before func(cl *cluster, host pimento.HostName) // before a crash that host sees
	after  func(cl *cluster, crashes int)
}

var crashCases = []crashCase{
	{name: "Nothing", lasts: crashTime},
	{name: "LeaderLostOnce", lasts: crashTime, after: func(cl *cluster, crashes int) {
		if crashes == 2 {
			cl.killProcess(cl.leaderHost())
		}
	}},
	{name: "LeaderLostAgainAndAgain", lasts: crashTime, after: func(cl *cluster, crashes int) {
		if crashes == 2 || crashes == 4 {
			cl.killProcess(cl.leaderHost())
		}
	}},
	{name: "RepliesLost", lasts: crashTime, before: func(cl *cluster, host pimento.HostName) {
		from, to := string(host), string(cl.leaderHost())
		cl.cutLink(from, to)
		cl.runAfter(300*time.Millisecond, func() { cl.healLink(from, to) })
	}},
	{name: "ProcessesRestartAgain", lasts: crashTime, after: func(cl *cluster, crashes int) {
		if crashes%quarantiner.CrashLimit == 0 {
			cl.restartProcesses()
		}
	}},
	{name: "RefusalEnds", lasts: 150 * time.Second},
}

// crashTime is how long a request is sent that is refused all the while once it is.
const crashTime = 65 * time.Second

// healLink ends what cutLink began.
func (cl *cluster) healLink(from, to string) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	delete(cl.cutLinks, [2]string{from, to})
}

// restartProcesses restarts the processes one after the other, the leader too.
func (cl *cluster) restartProcesses() {
	for _, h := range cl.hosts {
		cl.killProcess(h)
		cl.startProcess(h)
		time.Sleep(2 * time.Second)
	}
}

// processOf returns the process of a host, nil if it has none.
func (cl *cluster) processOf(host pimento.HostName) *process {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	for _, p := range cl.processes {
		if p.self.Host == host {
			return p
		}
	}
	return nil
}

// crashUpstream sends the request through a process, if it is not refused there, to an
// upstream that it crashes and that is found at once. It reports whether it was sent.
func (p *process) crashUpstream(name pimento.UpstreamName) bool {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.quarantine.RetryAfter(now, crashing) > 0 {
		return false
	}
	p.quarantine.ConnectionBroke(now, name, crashing)
	p.quarantine.Restarted(now, name)
	return true
}

// TestCrashesAreForgottenByALaterLeader guards against a request that is sent on and on
// through other processes: crashes that were reported to an earlier leader, in a reply that
// was lost, or before an earlier refusal do not count.
func TestCrashesAreForgottenByALaterLeader(t *testing.T) {
	for _, c := range crashCases {
		t.Run(c.name, func(t *testing.T) {
			for seed := range uint64(6) {
				runCluster(t, seed+1, true, func(cl *cluster) {
					if late := c.countLateRetries(cl); late > maxLateRetries {
						t.Errorf("seed %d: %d retries later than 3 s after the third crash; allowed 3", seed+1, late)
					}
				})
			}
		})
	}
}

// countLateRetries sends the request through one process after the other, and returns
// how many were sent later than crashNoticeTime after the third crash.
func (c crashCase) countLateRetries(cl *cluster) int {
	const pause = crashNoticeTime + 100*time.Millisecond
	crashes, late := 0, 0
	var thirdAt time.Time
	hosts := slices.Clone(cl.hosts)
	end := time.Now().Add(c.lasts)
	for i := 0; time.Now().Before(end); i++ {
		time.Sleep(pause)
		p := cl.processOf(hosts[i%len(hosts)])
		if p == nil || p.self.Host == cl.leaderHost() {
			continue // the leader's own reports need no reply
		}
		if c.before != nil {
			c.before(cl, p.self.Host)
		}
		if !p.crashUpstream("u0") {
			continue
		}
		if crashes++; crashes == quarantiner.CrashLimit {
			thirdAt = time.Now()
		}
		if crashes > quarantiner.CrashLimit && time.Since(thirdAt) > crashNoticeTime {
			late++
		}
		if c.after != nil {
			time.Sleep(time.Second)
			c.after(cl, crashes)
		}
	}
	return late
}
