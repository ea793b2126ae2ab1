package appointer

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"

	"pimentorelay.example/pimento"
)

func members(n, domains int) []pimento.Member {
	var out []pimento.Member
	for i := range n {
		out = append(out, pimento.Member{Process: pimento.Process{
			ID: pimento.ProcessID(fmt.Sprintf("p%02d", i)), Host: pimento.HostName(fmt.Sprintf("h%02d", i)),
			Domain: pimento.DomainName(fmt.Sprintf("d%d", i%domains)),
		}})
	}
	return out
}

// TestLines holds that pools are spread over processes, their lines over
// failure domains, and that a dispatcher stays as long as it is active.
func TestLines(t *testing.T) {
	is := is.New(t)
	all := members(9, 3)
	sizes := []Size{{Service: "a", Upstreams: 60}, {Service: "b", Upstreams: 5}}
	pools := Lines(nil, sizes, all)
	is.Equal(len(pools), 4) // 60 upstreams make three pools
	first := make(map[pimento.ProcessID]bool)
	for _, p := range pools {
		is.Equal(len(p.Line), lineLength)
		first[p.Line[0]] = true
		is.True(domainOf(all, p.Line[0]) != domainOf(all, p.Line[1]))
	}
	is.Equal(len(first), 4)
	is.Equal(Lines(pools, sizes, all), pools) // nothing changed

	lost := pools[0].Line[0]
	for i := range all {
		all[i].Idle = all[i].ID == lost
	}
	next := Lines(pools, sizes, all)
	is.Equal(next[0].Line[0], pools[0].Line[1]) // the second knows the keys already
	is.Equal(next[0].Round, pools[0].Round+1)
	is.Equal(next[0].Near[0], pools[0].Near[1])
	is.True(next[0].Near[1] <= next[0].Round)
	is.Equal(next[1].Line[0], pools[1].Line[0])
}

func domainOf(list []pimento.Member, id pimento.ProcessID) pimento.DomainName {
	for _, m := range list {
		if m.ID == id {
			return m.Domain
		}
	}
	return ""
}

// TestNobodyIsActive holds that pools stay known while no process dispatches.
func TestNobodyIsActive(t *testing.T) {
	is := is.New(t)
	all := members(3, 3)
	sizes := []Size{{Service: "a", Upstreams: 5}}
	pools := Lines(nil, sizes, all)
	for i := range all {
		all[i].Idle = true
	}
	pools = Lines(pools, sizes, all)
	is.Equal(len(pools), 1)
	is.Equal(len(pools[0].Line), 0)
	all[2].Idle = false
	is.Equal(Lines(pools, sizes, all)[0].Line, []pimento.ProcessID{"p02"})
}

// TestCountIsSteady holds that the number of pools does not follow each upstream
// that comes or goes, since requests under way know the old one.
func TestCountIsSteady(t *testing.T) {
	is := is.New(t)
	all := members(9, 3)
	pools := Lines(nil, []Size{{Service: "a", Upstreams: 48}}, all)
	is.Equal(len(pools), 2)
	rng := rand.New(rand.NewPCG(1, 2))
	for range 50 {
		pools = Lines(pools, []Size{{Service: "a", Upstreams: 44 + rng.IntN(9)}}, all)
		is.Equal(len(pools), 2)
	}
}
