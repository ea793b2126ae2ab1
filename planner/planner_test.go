package planner

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"pimentorelay.example/pimento"
)

// deployment has upstreams and processes spread over failure domains.
func deployment(domains, upstreams, processes int) Input {
	in := Input{Self: "p0", Ended: map[pimento.ProcessID]bool{}, Suspected: map[pimento.ProcessID]bool{},
		Reports: map[pimento.UpstreamName]pimento.UpstreamReport{}, Loads: map[pimento.SliceID]float64{}, Balance: true}
	in.Config.Services = []pimento.Service{{Name: "keys", Sharing: pimento.SharingKeyed}}
	for i := range domains {
		in.Config.Domains = append(in.Config.Domains, pimento.Domain{Name: domainName(i), State: pimento.StateIn})
	}
	for i := range upstreams {
		h := pimento.HostName(fmt.Sprintf("h%d", i))
		in.Config.Hosts = append(in.Config.Hosts, pimento.Host{Name: h, Domain: domainName(i % domains), State: pimento.StateArriving})
		in.Config.Servers = append(in.Config.Servers, pimento.Server{Name: upstreamName(i), Service: "keys", Host: h, Slots: 4})
	}
	for i := range processes {
		in.Registered = append(in.Registered, pimento.Process{ID: pimento.ProcessID(fmt.Sprintf("p%d", i)), Domain: domainName(i % domains)})
	}
	return in
}

func domainName(i int) pimento.DomainName     { return pimento.DomainName(fmt.Sprintf("d%d", i)) }
func upstreamName(i int) pimento.UpstreamName { return pimento.UpstreamName(fmt.Sprintf("u%d", i)) }

// settle writes plans until nothing changes, and returns the last one and the
// number of slices whose owner changed on the way.
func settle(in *Input) (pimento.Plan, int) {
	moved := 0
	for range 200 {
		next, changed := Next(*in)
		if !changed {
			break
		}
		moved += ownersChanged(&in.Prior, &next)
		in.Prior = next
		in.Registered = next.Processes
	}
	return in.Prior, moved
}

func ownersChanged(a, b *pimento.Plan) int {
	n := 0
	for i, s := range b.Services[0].Slices {
		if len(a.Services) > 0 && a.Services[0].Slices[i].Owners[0] != s.Owners[0] {
			n++
		}
	}
	return n
}

// imbalance returns the largest weight over the mean of those that own.
func imbalance(in *Input, p *pimento.Plan) float64 {
	weight, total, most := map[pimento.UpstreamName]float64{}, 0.0, 0.0
	for _, s := range p.Services[0].Slices {
		w := baseWeight + in.Loads[pimento.SliceID{Service: "keys", Start: s.Start}]
		weight[s.Owners[0]] += w
		total += w
	}
	n := 0
	for _, s := range in.Config.Servers {
		if in.Config.Eligible(s) && in.Reports[s.Name].Condition != pimento.ConditionLost {
			n++
			most = max(most, weight[s.Name])
		}
	}
	return most / (total / float64(n))
}

// TestChurn compares what moves with the least that has to move. The bound is
// one and a half times the least.
func TestChurn(t *testing.T) {
	cases := []struct {
		name   string
		change func(in *Input)
		least  int // of 128 slices on 16 upstreams
	}{
		{"an upstream leaves", func(in *Input) { in.Config.Hosts[3].State = pimento.StateLeaving }, 8},
		{"an upstream is lost", func(in *Input) {
			in.Reports["u3"] = pimento.UpstreamReport{Upstream: "u3", Condition: pimento.ConditionLost}
		}, 8},
		{"an upstream joins", func(in *Input) {
			in.Config.Hosts = append(in.Config.Hosts, pimento.Host{Name: "new", Domain: "d0", State: pimento.StateArriving})
			in.Config.Servers = append(in.Config.Servers, pimento.Server{Name: "new", Service: "keys", Host: "new", Slots: 4})
		}, 7},
		{"a failure domain goes out", func(in *Input) { in.Config.Domains[1].State = pimento.StateOut }, 32},
		{"a process is lost", func(in *Input) { in.Suspected["p2"] = true }, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			in := deployment(4, 16, 8)
			settle(&in)
			in.Config.Domains = append([]pimento.Domain(nil), in.Config.Domains...)
			c.change(&in)
			in.ConfigVersion++
			plan, moved := settle(&in)
			t.Logf("%d of %d slices moved, at least %d must; imbalance %.2f", moved, len(plan.Services[0].Slices), c.least, imbalance(&in, &plan))
			is.True(moved <= c.least*3/2)
			is.True(imbalance(&in, &plan) <= 1.15)
			is.True(moved >= c.least-1) // a newcomer gets its share, within the bound
		})
	}
}

// TestPlanProperties draws deployments and loads. A plan is sound, every slice
// has an eligible owner, owners and dispatchers stand in failure domains of
// their own where there are enough, and balance is within its bound.
func TestPlanProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		domains := rapid.IntRange(1, 5).Draw(t, "domains")
		in := deployment(domains, rapid.IntRange(2, 17).Draw(t, "upstreams"), rapid.IntRange(1, 12).Draw(t, "processes"))
		settle(&in)
		out := rapid.IntRange(0, domains-1).Draw(t, "out")
		if domains > 1 && len(in.Config.Servers) > domains {
			in.Config.Domains[out].State = pimento.StateOut
			in.ConfigVersion++
		}
		for _, s := range in.Prior.Services[0].Slices {
			in.Loads[pimento.SliceID{Service: "keys", Start: s.Start}] = float64(rapid.IntRange(0, 40).Draw(t, "rate"))
		}
		plan, _ := settle(&in)
		if err := plan.Validate(); err != nil {
			t.Fatal(err)
		}
		if !slices.Equal(plan.PriorConfirmers, plan.Confirmers) {
			t.Fatalf("prior confirmers %v are still needed besides %v", plan.PriorConfirmers, plan.Confirmers)
		}
		for _, s := range plan.Services[0].Slices {
			server, _ := in.Config.Server(s.Owners[0])
			if !in.Config.Eligible(server) {
				t.Fatalf("slice %d is owned by %s, which is out", s.Start, s.Owners[0])
			}
		}
		for _, d := range plan.Upstreams {
			if len(d.Dispatchers) != min(1+standbys, len(plan.Processes)) && len(plan.Processes) > 0 && allAble(&in, &plan) {
				t.Fatalf("%s has dispatchers %v", d.Upstream, d.Dispatchers)
			}
		}
		if got := imbalance(&in, &plan); got > 1.15 {
			t.Fatalf("imbalance %.3f", got)
		}
	})
}

// allAble reports whether every process may dispatch.
func allAble(in *Input, plan *pimento.Plan) bool {
	for _, p := range plan.Processes {
		if !takesWork(&in.Config, p) {
			return false
		}
	}
	return true
}

// BenchmarkNext is the cost of the next plan, and the size of its object, for
// so many upstreams. docs/CAPACITY.md uses the slopes.
func BenchmarkNext(b *testing.B) {
	for _, n := range []int{17, 68, 272} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			in := deployment(5, n, n)
			plan, _ := settle(&in)
			data, err := json.Marshal(plan)
			if err != nil {
				b.Fatal(err)
			}
			for b.Loop() {
				Next(in)
			}
			b.ReportMetric(float64(len(data)), "bytes/plan")
		})
	}
}
