package assembler_test

import (
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"pimentorelay.example/pimento"
	"pimentorelay.example/pimento/assembler"
	"pimentorelay.example/pimento/leader"
	"pimentorelay.example/pimento/sender"
	"pimentorelay.example/pimento/upstreamfaker"
)

// The promise about limits: in each limitPeriod that begins limitSettling, in which
// processes tell each other, after a limit was first named, an upstream gets at most limitFactor times as many
// requests as the limit allows, and limitSlack more.
const (
	limitPeriod   = 4 * time.Second
	limitSettling = 500 * time.Millisecond
	limitFactor   = 1.5
	limitSlack    = 5
)

// allowedBy returns the most requests in limitPeriod under a limit.
func allowedBy(perSecond float64) int {
	return int(limitFactor*perSecond*limitPeriod.Seconds() + limitSlack)
}

// limitCase is a limit that two upstreams name from the beginning, and what happens
// a while later.
type limitCase struct {
	name  string
	limit []string // that answers name, in turn
	rate  float64  // that counts
	// everywhere means that all upstreams name the limit.
	everywhere bool
	// silence is how long nothing is sent before the last period.
	silence time.Duration
	// victims returns the processes that are killed; nil: none.
	victims func(a *pimento.Assignment) []pimento.ProcessID
}

// callers returns the number of callers: more where most of them wait.
func (c *limitCase) callers() int {
	if c.everywhere {
		return 24
	}
	return 4
}

var limitCases = []limitCase{
	{name: "steady", limit: []string{"2.9"}, rate: 2.9},
	{name: "of all upstreams", limit: []string{"2.9"}, rate: 2.9, everywhere: true},
	{name: "low", limit: []string{"0.5"}, rate: 0.5},
	{name: "another one in every answer", limit: []string{"4", "2.5", "3"}, rate: 2.5},
	{name: "in every other answer", limit: []string{"2.9", ""}, rate: 2.9},
	{name: "twice in an answer", limit: []string{"5, 2.9"}, rate: 2.9},
	{name: "burst after silence", limit: []string{"2.9"}, rate: 2.9, silence: 4 * time.Second},
	{name: "dispatchers are killed", limit: []string{"2.9"}, rate: 2.9, victims: dispatchers},
	{name: "the leader is killed", limit: []string{"2.9"}, rate: 2.9, victims: currentLeader},
}

// TestUpstreamGetsMoreThanItsLimit guards against processes that each send what an
// upstream takes from all of them together, or take no notice of its limit.
func TestUpstreamGetsMoreThanItsLimit(t *testing.T) {
	for _, c := range limitCases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			d := startDeployment(t)
			var victims []pimento.ProcessID
			if c.victims != nil {
				victims = c.victims(storedAssignment(t, d))
			}
			s := startLimitedStream(d, c.callers(), victims)
			time.Sleep(300 * time.Millisecond)
			faults := upstreamfaker.Faults{Limit: c.limit}
			var limited []*upstreamfaker.Server
			if c.everywhere {
				limited = slices.Collect(maps.Values(d.Upstreams))
				for _, u := range limited {
					u.Inject(faults)
				}
			} else {
				limited = injectIntoBusiest(t, d, []string{"guidebook", "partsdesk"}, faults, (*upstreamfaker.Server).NamesLimit)
			}
			time.Sleep(limitPeriod / 2)
			killProcesses(d, victims)
			if c.silence > 0 {
				s.Stop()
				time.Sleep(c.silence)
				s = startLimitedStream(d, c.callers(), victims)
			}
			time.Sleep(limitPeriod + time.Second)
			s.Stop()
			t.Log(s.Summary())
			most := 0
			for _, u := range limited {
				is.True(u.NamesLimit() || c.everywhere) // few requests need not reach all
				got := u.MostArrivals(limitSettling, limitPeriod)
				t.Logf("%s: %d requests, allowed %d", u.Name, got, allowedBy(c.rate))
				is.True(got <= allowedBy(c.rate))
				most = max(most, got)
			}
			if c.everywhere { // then nothing can go elsewhere
				is.True(most >= int(c.rate*limitPeriod.Seconds())/2)
			}
			is.Equal(len(s.Summary().Wrong), 0)
			is.Equal(s.Summary().NotRun, 0) // the rest goes elsewhere, or comes back as told
			is.NoErr(d.CheckRuns(s.OrderOutcomes()))
		})
	}
}

// startLimitedStream starts a stream of keyed reads and orders, far above the limits
// of the test, through the entries that are not killed.
func startLimitedStream(d *assembler.Deployment, callers int, victims []pimento.ProcessID) *sender.Stream {
	s := &sender.Stream{Callers: callers, Keyed: "/TIMEOUT%20504/guide", Orders: "/connection%20refused/order"}
	for i := range limitEntries {
		if !slices.Contains(victims, d.Entry(i).Process.ID) {
			s.URLs = append(s.URLs, d.URL(i))
		}
	}
	s.Start()
	return s
}

// busiest returns the upstream of a service that gets the most requests now: few requests
// need not reach all of them, and which ones they reach changes.
func busiest(t *testing.T, d *assembler.Deployment, service string) *upstreamfaker.Server {
	t.Helper()
	before := make(map[pimento.UpstreamName]int)
	for name, u := range d.Upstreams {
		before[name] = u.Report().Runs
	}
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		var best *upstreamfaker.Server
		most, all := 0, 0
		for name, u := range d.Upstreams {
			if !strings.HasPrefix(string(name), service) {
				continue
			}
			runs := u.Report().Runs - before[name]
			all += runs
			if runs > most {
				best, most = u, runs
			}
		}
		if all >= minRuns {
			return best
		}
	}
	t.Fatalf("no upstream of %s gets requests", service)
	return nil
}

// injectIntoBusiest injects faults into the busiest upstream of each service and waits
// until requests have met them. Where none does soon, since keys have moved or others have
// become faster, it tries the busiest one then.
func injectIntoBusiest(t *testing.T, d *assembler.Deployment, services []string, faults upstreamfaker.Faults, met func(*upstreamfaker.Server) bool) []*upstreamfaker.Server {
	t.Helper()
	var out []*upstreamfaker.Server
	left := slices.Clone(services)
	for end := time.Now().Add(readyTimeout); len(left) > 0; {
		if time.Now().After(end) {
			t.Fatalf("no upstream of %v meets a request", left)
		}
		chosen := make(map[string]*upstreamfaker.Server)
		for _, service := range left {
			chosen[service] = busiest(t, d, service)
		}
		for _, u := range chosen {
			u.Inject(faults)
		}
		haveMet := func() bool {
			for _, u := range chosen {
				if !met(u) {
					return false
				}
			}
			return true
		}
		for giveUpAt := time.Now().Add(meetTimeout); !haveMet() && time.Now().Before(giveUpAt); {
			time.Sleep(time.Millisecond)
		}
		left = slices.DeleteFunc(left, func(service string) bool {
			u := chosen[service]
			if !met(u) {
				u.Inject(upstreamfaker.Faults{})
				if !met(u) {
					return false
				}
				u.Inject(faults) // they were met while they were taken back
			}
			out = append(out, u)
			return true
		})
	}
	return out
}

// meetTimeout is how long injectIntoBusiest waits for requests at its first choice.
const meetTimeout = time.Second

// minRuns is the number of requests to a service that tell its busiest upstream.
const minRuns = 10

// limitEntries is the number of entry processes of startDeployment.
const limitEntries = 5

// storedAssignment reads the assignment from the store.
func storedAssignment(t *testing.T, d *assembler.Deployment) *pimento.Assignment {
	t.Helper()
	e, err := d.Client().Get(t.Context(), leader.KindAssignment, leader.AssignmentName)
	if err != nil {
		t.Fatal(err)
	}
	a := &pimento.Assignment{}
	if err := json.Unmarshal(e.Value, a); err != nil {
		t.Fatal(err)
	}
	return a
}

// dispatchers returns the dispatchers of all pools.
func dispatchers(a *pimento.Assignment) []pimento.ProcessID {
	var out []pimento.ProcessID
	for _, p := range a.Pools {
		out = append(out, p.PreferenceList[0])
	}
	return out
}

// currentLeader returns the leader.
func currentLeader(a *pimento.Assignment) []pimento.ProcessID {
	return []pimento.ProcessID{a.Term.Leader}
}

// killProcesses kills entry processes.
func killProcesses(d *assembler.Deployment, victims []pimento.ProcessID) {
	for i := range limitEntries {
		if slices.Contains(victims, d.Entry(i).Process.ID) {
			d.Entry(i).Kill()
		}
	}
}
