package claimer

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"pimentorelay.example/pimento"
)

// fakeAuthority says what a test wants.
type fakeAuthority struct {
	until     time.Time
	settled   bool
	lapsed    []pimento.ProcessID
	lost      []pimento.UpstreamName
	withdrawn pimento.Withdrawn
}

func (f *fakeAuthority) AuthorityUntil() time.Time           { return f.until }
func (f *fakeAuthority) Settled(uint64) bool                 { return f.settled }
func (f *fakeAuthority) Lapsed(id pimento.ProcessID) bool    { return slices.Contains(f.lapsed, id) }
func (f *fakeAuthority) Lost(name pimento.UpstreamName) bool { return slices.Contains(f.lost, name) }
func (f *fakeAuthority) Withdrawn() pimento.Withdrawn        { return f.withdrawn }

var slice = pimento.SliceID{Service: "keys"}

// twoProcesses is a plan in which first dispatches u, then second, and u owns
// the one slice, then v, which first dispatches.
func twoProcesses(epoch uint64, first, second pimento.ProcessID) pimento.Plan {
	return pimento.Plan{
		Epoch:     epoch,
		Processes: []pimento.Process{{ID: "a"}, {ID: "b"}},
		Upstreams: []pimento.DispatcherPlan{
			{Upstream: "u", Dispatchers: []pimento.ProcessID{first, second}},
			{Upstream: "v", Dispatchers: []pimento.ProcessID{"a"}},
		},
		Services: []pimento.ServicePlan{{Service: "keys", Slices: []pimento.Slice{{Owners: []pimento.UpstreamName{"u", "v"}}}}},
	}
}

// answerAll lets b answer every question, and returns the other effects.
func answerAll(m *Machine, now time.Time, a Authority, answer pimento.HandoverAnswer) []Effect {
	var out []Effect
	for range 4 {
		now = now.Add(askInterval)
		for _, e := range m.Step(now, a) {
			if e.Kind != EffectAsk {
				out = append(out, e)
				continue
			}
			answer.From = "b"
			m.Answered(now, e.Ask, answer)
		}
	}
	return out
}

func took(effects []Effect, kind EffectKind) bool {
	return slices.ContainsFunc(effects, func(e Effect) bool { return e.Kind == kind })
}

func TestTake(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	free := pimento.HandoverAnswer{Epoch: 2}
	valid := now.Add(time.Hour)
	cases := []struct {
		name      string
		plan      pimento.Plan
		authority fakeAuthority
		answer    pimento.HandoverAnswer
		upstream  bool
		slice     bool
	}{
		{"when the other says free", twoProcesses(2, "a", "b"), fakeAuthority{until: valid}, free, true, true},
		{"not without authority", twoProcesses(2, "a", "b"), fakeAuthority{until: now}, free, false, false},
		{"not while the other is busy", twoProcesses(2, "a", "b"), fakeAuthority{until: valid, settled: true},
			pimento.HandoverAnswer{Epoch: 2, BusyUpstreams: []pimento.UpstreamName{"u"}, BusySlices: []pimento.SliceID{slice}}, false, false},
		{"not by an answer of another epoch", twoProcesses(2, "a", "b"), fakeAuthority{until: valid}, pimento.HandoverAnswer{Epoch: 1}, false, false},
		{"not while another is first in line", twoProcesses(2, "b", "a"), fakeAuthority{until: valid}, free, false, false},
		{"not before the first in line has lapsed", twoProcesses(2, "b", "a"),
			fakeAuthority{until: valid, withdrawn: pimento.Withdrawn{Processes: []pimento.ProcessID{"b"}}}, free, false, false},
		{"when the first in line has lapsed", twoProcesses(2, "b", "a"),
			fakeAuthority{until: valid, lapsed: []pimento.ProcessID{"b"}, withdrawn: pimento.Withdrawn{Processes: []pimento.ProcessID{"b"}}}, free, true, true},
		{"not from a lost upstream before enough know", twoProcesses(2, "b", "a"),
			fakeAuthority{until: valid, withdrawn: pimento.Withdrawn{Upstreams: []pimento.UpstreamName{"u"}}}, free, false, false},
		{"from a lost upstream when enough know", twoProcesses(2, "b", "a"),
			fakeAuthority{until: valid, lost: []pimento.UpstreamName{"u"}, withdrawn: pimento.Withdrawn{Upstreams: []pimento.UpstreamName{"u"}}}, free, false, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			m := New("a")
			m.Learn(c.plan)
			effects := answerAll(m, now, &c.authority, c.answer)
			is.Equal(slices.ContainsFunc(effects, func(e Effect) bool { return e.Kind == EffectTakeUpstream && e.Upstream == "u" }), c.upstream)
			is.Equal(took(effects, EffectTakeSlice), c.slice)
		})
	}
}

func TestUnlistedProcess(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_700_000_000, 0)
	a := &fakeAuthority{until: now.Add(time.Hour)}
	m := New("a")
	m.Learn(twoProcesses(1, "b", "a"))
	without := twoProcesses(2, "a", "a")
	without.Processes = without.Processes[:1]
	m.Learn(without)
	is.True(!took(answerAll(m, now, a, pimento.HandoverAnswer{}), EffectTakeUpstream)) // b may carry authority
	a.settled = true
	is.True(took(answerAll(m, now.Add(time.Second), a, pimento.HandoverAnswer{}), EffectTakeUpstream))
}

func TestGiveBack(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_700_000_000, 0)
	a := &fakeAuthority{until: now.Add(time.Hour)}
	m := New("a")
	m.Learn(twoProcesses(2, "a", "b"))
	answerAll(m, now, a, pimento.HandoverAnswer{Epoch: 2})
	m.Learn(twoProcesses(3, "b", "a"))
	effects := m.Step(now, a)
	is.True(took(effects, EffectStopSlice))
	ask := pimento.HandoverAsk{Epoch: 3, Slices: []pimento.SliceID{slice}, Upstreams: []pimento.UpstreamName{"u"}}
	is.Equal(len(m.Asked(ask).BusySlices), 1) // it still drains
	m.DrainedSlice(slice)
	m.DrainedUpstream("u")
	is.Equal(m.Asked(ask), pimento.HandoverAnswer{From: "a", Epoch: 3})
}

// TestAnswersAreForgotten lets b say free, then something happen, and then c
// say free. The right may not be taken up by the old answer of b.
func TestAnswersAreForgotten(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	withC := func(epoch uint64) pimento.Plan {
		p := twoProcesses(epoch, "a", "b")
		p.Processes = append(p.Processes, pimento.Process{ID: "c"})
		return p
	}
	cases := []struct {
		name string
		act  func(m *Machine, a *fakeAuthority)
		take bool
	}{
		{"not in the same epoch", func(*Machine, *fakeAuthority) {}, true},
		{"not with the next epoch", func(m *Machine, _ *fakeAuthority) { m.Learn(withC(3)) }, true},
		{"with the authority", func(m *Machine, a *fakeAuthority) {
			until := a.until
			a.until = now
			m.Step(now.Add(time.Second), a)
			a.until = until
		}, false},
		{"with a skipped epoch", func(m *Machine, _ *fakeAuthority) { m.Learn(withC(5)) }, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			a := &fakeAuthority{until: now.Add(time.Hour)}
			m := New("a")
			m.Learn(withC(2))
			ask := pimento.HandoverAsk{Epoch: 2, Upstreams: []pimento.UpstreamName{"u"}}
			m.Step(now, a)
			m.Answered(now, ask, pimento.HandoverAnswer{From: "b", Epoch: 2})
			c.act(m, a)
			ask.Epoch = m.Epoch()
			m.Answered(now, ask, pimento.HandoverAnswer{From: "c", Epoch: m.Epoch()})
			is.Equal(took(m.Step(now.Add(2*time.Second), a), EffectTakeUpstream), c.take)
		})
	}
}

func TestRightsEndWithAuthority(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_700_000_000, 0)
	a := &fakeAuthority{until: now.Add(time.Minute)}
	m := New("a")
	m.Learn(twoProcesses(2, "a", "b"))
	answerAll(m, now, a, pimento.HandoverAnswer{Epoch: 2})
	is.True(!m.Idle())
	is.True(took(m.Step(now.Add(time.Minute), a), EffectStopSlice))
}

// BenchmarkStep is the cost of one step of a process that holds so many
// slices. docs/CAPACITY.md uses the slope.
func BenchmarkStep(b *testing.B) {
	for _, n := range []int{128, 1024, 8192} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			now := time.Unix(1_700_000_000, 0)
			a := &fakeAuthority{until: now.Add(time.Hour)}
			p := twoProcesses(2, "a", "b")
			p.Processes = p.Processes[:1]
			p.Services[0].Slices = nil
			for i := range n {
				p.Services[0].Slices = append(p.Services[0].Slices, pimento.Slice{Start: uint64(i), Owners: []pimento.UpstreamName{"u", "v"}})
			}
			m := New("a")
			m.Learn(p)
			for b.Loop() {
				m.Step(now, a)
			}
		})
	}
}
