package confirmer

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"pimentorelay.example/pimento"
)

var (
	timing = Timing{Heartbeat: 40 * time.Millisecond, Suspect: 240 * time.Millisecond, Lease: 280 * time.Millisecond, Drift: 10 * time.Millisecond}
	zero   = time.Unix(1_700_000_000, 0)
)

func at(ms int) time.Time { return zero.Add(time.Duration(ms) * time.Millisecond) }

// plan lists processes a to e and confirmers given by letters.
func plan(epoch uint64, confirmers, prior string) pimento.Plan {
	p := pimento.Plan{Epoch: epoch}
	for _, r := range "abcde" {
		p.Processes = append(p.Processes, pimento.Process{ID: pimento.ProcessID(r)})
	}
	for _, r := range confirmers {
		p.Confirmers = append(p.Confirmers, pimento.ProcessID(r))
	}
	for _, r := range prior {
		p.PriorConfirmers = append(p.PriorConfirmers, pimento.ProcessID(r))
	}
	return p
}

func learned(epoch uint64, confirmers, prior string) *Machine {
	m := New("a", timing)
	m.Learn(at(0), plan(epoch, confirmers, prior))
	return m
}

// confirm lets processes confirm a question that was sent and answered then.
func confirm(m *Machine, sent, now int, from string, withdrawn ...pimento.ProcessID) {
	for _, r := range from {
		m.Answer(at(now), at(sent), pimento.ConfirmAnswer{
			From: pimento.ProcessID(r), Epoch: m.Epoch(), Confirmed: true, Withdrawn: pimento.Withdrawn{Processes: withdrawn},
		})
	}
}

func TestAskIsConfirmedOnly(t *testing.T) {
	cases := []struct {
		name string
		ask  pimento.ConfirmAsk
		at   int // milliseconds after the plan was learned
		want bool
	}{
		{"in the epoch, by a listed process", pimento.ConfirmAsk{From: "b", Epoch: 2}, 100, true},
		{"not in an earlier epoch", pimento.ConfirmAsk{From: "b", Epoch: 1}, 100, false},
		{"not in a later epoch", pimento.ConfirmAsk{From: "b", Epoch: 3}, 100, false},
		{"not for an unlisted process", pimento.ConfirmAsk{From: "x", Epoch: 2}, 100, false},
		{"not after it was silent for too long", pimento.ConfirmAsk{From: "b", Epoch: 2}, 260, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			m := learned(2, "abc", "abc")
			for ms := 0; ms <= c.at; ms += 10 {
				m.Tick(at(ms))
			}
			is.Equal(m.Ask(at(c.at), c.ask).Confirmed, c.want)
		})
	}
}

func TestSuspicionLastsForTheEpoch(t *testing.T) {
	is := is.New(t)
	m := learned(2, "abc", "abc")
	for ms := 0; ms <= 260; ms += 10 {
		m.Tick(at(ms))
	}
	is.True(!m.Ask(at(260), pimento.ConfirmAsk{From: "b", Epoch: 2}).Confirmed)
	is.True(!m.Ask(at(300), pimento.ConfirmAsk{From: "b", Epoch: 2}).Confirmed)
	m.Learn(at(310), plan(3, "abc", "abc"))
	is.True(m.Ask(at(320), pimento.ConfirmAsk{From: "b", Epoch: 3}).Confirmed)
}

func TestNobodyIsSuspectedForAnOwnPause(t *testing.T) {
	is := is.New(t)
	m := learned(2, "abc", "abc")
	m.Tick(at(10))
	m.Tick(at(5000)) // paused in between
	is.Equal(len(m.Suspects()), 0)
}

func TestNewConfirmerSuspectsNobodyAtOnce(t *testing.T) {
	is := is.New(t)
	m := New("a", timing)
	m.Learn(at(0), plan(1, "b", ""))
	for ms := 0; ms <= 500; ms += 10 {
		m.Tick(at(ms))
	}
	m.Learn(at(500), plan(2, "abc", "b"))
	m.Tick(at(510))
	is.Equal(len(m.Suspects()), 0)
}

func TestAuthority(t *testing.T) {
	cases := []struct {
		name  string
		prior string
		act   func(m *Machine)
		until time.Time
	}{
		{"none without a majority", "abcde", func(m *Machine) { confirm(m, 5, 10, "b") }, time.Time{}},
		{"counts from when the question was sent", "abcde", func(m *Machine) { m.Tick(at(5)); confirm(m, 5, 100, "bc") }, at(285)},
		{"needs a majority of the prior confirmers too", "bde", func(m *Machine) { m.Tick(at(5)); confirm(m, 5, 10, "bc") }, time.Time{}},
		{"needs both at once", "bde", func(m *Machine) { m.Tick(at(5)); confirm(m, 5, 10, "bcd") }, at(285)},
		{"answers of another epoch do not count", "abcde", func(m *Machine) {
			for _, id := range []pimento.ProcessID{"b", "c", "d"} {
				m.Answer(at(10), at(5), pimento.ConfirmAnswer{From: id, Epoch: 1, Confirmed: true})
			}
		}, time.Time{}},
		{"a late answer does not shorten it", "abcde", func(m *Machine) {
			m.Tick(at(50))
			confirm(m, 50, 60, "bc")
			confirm(m, 5, 70, "bc")
		}, at(330)},
		{"it lasts into the next epoch until it lapses", "abcde", func(m *Machine) {
			m.Tick(at(5))
			confirm(m, 5, 10, "bc")
			m.Learn(at(20), plan(3, "abcde", "abcde"))
		}, at(285)},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			m := learned(2, "abcde", c.prior)
			c.act(m)
			is.Equal(m.AuthorityUntil(), c.until)
		})
	}
}

func TestSettled(t *testing.T) {
	cases := []struct {
		name  string
		act   func(m *Machine)
		epoch uint64
		want  bool
	}{
		{"not before one lease has passed", func(m *Machine) { confirm(m, 5, 10, "bcd"); confirm(m, 290, 295, "bcd") }, 2, false},
		{"not without a question sent after it", func(m *Machine) { confirm(m, 5, 10, "bcd"); m.Tick(at(900)) }, 2, false},
		{"after a lease and a fresh question", func(m *Machine) { confirm(m, 5, 10, "bcd"); confirm(m, 310, 320, "bcd") }, 2, true},
		{"for an epoch that came before without a lapse", func(m *Machine) {
			confirm(m, 5, 10, "bcd")
			m.Learn(at(200), plan(3, "abcde", "abcde"))
			confirm(m, 310, 320, "bcd")
		}, 2, true},
		{"not for the new epoch by the time of the old one", func(m *Machine) {
			confirm(m, 5, 10, "bcd")
			m.Learn(at(200), plan(3, "abcde", "abcde"))
			confirm(m, 310, 320, "bcd")
		}, 3, false},
		{"not after a lapse in between", func(m *Machine) {
			confirm(m, 5, 10, "bcd")
			m.Learn(at(400), plan(3, "abcde", "abcde"))
			confirm(m, 410, 420, "bcd")
		}, 2, false},
		{"not after a skipped epoch", func(m *Machine) {
			confirm(m, 5, 10, "bcd")
			m.Learn(at(200), plan(4, "abcde", "abcde"))
			confirm(m, 310, 320, "bcd")
		}, 2, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			m := learned(2, "abcde", "abcde")
			c.act(m)
			is.Equal(m.Settled(c.epoch), c.want)
		})
	}
}

func TestLapsed(t *testing.T) {
	cases := []struct {
		name string
		act  func(m *Machine)
		want bool
	}{
		{"not while too few have withdrawn it", func(m *Machine) {
			confirm(m, 5, 10, "bcd")
			confirm(m, 20, 25, "bc", "e")
			confirm(m, 700, 705, "bc", "e")
		}, false},
		{"not before one lease has passed", func(m *Machine) {
			confirm(m, 5, 10, "bcd")
			confirm(m, 400, 405, "bcd", "e")
			confirm(m, 600, 605, "bcd", "e")
		}, false},
		{"after a lease and a fresh question", func(m *Machine) {
			confirm(m, 5, 10, "bcd")
			confirm(m, 400, 405, "bcd", "e")
			confirm(m, 700, 705, "bcd", "e")
		}, true},
		{"not while it may carry authority of an earlier epoch", func(m *Machine) {
			for _, id := range []pimento.ProcessID{"b", "c", "d"} {
				m.Answer(at(10), at(5), pimento.ConfirmAnswer{From: id, Epoch: 2, Withdrawn: pimento.Withdrawn{Processes: []pimento.ProcessID{"e"}}})
			}
			confirm(m, 400, 405, "bcd", "e")
		}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			m := learned(2, "abcde", "abcde")
			c.act(m)
			is.Equal(m.Lapsed("e"), c.want)
		})
	}
}

func TestInForce(t *testing.T) {
	is := is.New(t)
	nobody := func(pimento.ProcessID) bool { return false }
	m := learned(2, "abcde", "abcde")
	is.True(!m.InForce(nobody)) // only a itself has learned it
	confirm(m, 5, 10, "b")
	is.True(!m.InForce(nobody))
	confirm(m, 5, 10, "c")
	is.True(m.InForce(nobody))
	m = learned(2, "abcde", "abcde")
	is.True(m.InForce(func(id pimento.ProcessID) bool { return id == "d" || id == "e" }))
	is.True(learned(2, "abcde", "").InForce(nobody)) // all prior confirmers have ended
}

// BenchmarkAsk is the cost of one confirmation, for a plan of so many
// processes. docs/CAPACITY.md uses the slope.
func BenchmarkAsk(b *testing.B) {
	for _, n := range []int{9, 90, 830} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			p := plan(2, "abc", "abc")
			for i := range n {
				p.Processes = append(p.Processes, pimento.Process{ID: pimento.ProcessID(fmt.Sprint(i))})
			}
			m := New("a", timing)
			m.Learn(at(0), p)
			ask := pimento.ConfirmAsk{From: pimento.ProcessID(fmt.Sprint(n - 1)), Epoch: 2}
			for b.Loop() {
				m.Ask(at(10), ask)
			}
		})
	}
}
