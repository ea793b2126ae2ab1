package requester

import (
	"context"
	"errors"
	"io"
	"math"
	"net"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"pimentorelay.example/pimento"
	"pimentorelay.example/pimento/upstreamfaker"
)

// serve runs a stand-in and returns a client of it.
func serve(t *testing.T, s *upstreamfaker.Server, verify func(pimento.GrantAnswer) error) *Client {
	t.Helper()
	s.Slots = 4
	s.Start()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := s.HTTP()
	go server.Serve(l)
	t.Cleanup(func() { server.Close() })
	address := l.Addr().(*net.TCPAddr).AddrPort()
	return New(pimento.Server{Name: "g1", Address: address, Slots: 4, Connections: 10}, verify)
}

func accept(pimento.GrantAnswer) error { return nil }

// TestUpstreamContract is the contract of an upstream's answers: what the
// dispatcher may say of a request, and how often it ran.
func TestUpstreamContract(t *testing.T) {
	whole := []pimento.Range{{Start: 0, End: math.MaxUint64}}
	cases := []struct {
		name    string
		checked bool
		faults  upstreamfaker.Faults
		grant   pimento.Grant
		fence   uint64
		want    pimento.Outcome
		runs    int
	}{
		{"answers", false, upstreamfaker.Faults{}, pimento.Grant{}, 0, pimento.OutcomeAnswered, 1},
		{"answers what its grant covers", true, upstreamfaker.Faults{}, pimento.Grant{Fence: 5, Ranges: whole, ValidUntil: time.Hour}, 5, pimento.OutcomeAnswered, 1},
		{"refuses another fence", true, upstreamfaker.Faults{}, pimento.Grant{Fence: 5, Ranges: whole, ValidUntil: time.Hour}, 4, pimento.OutcomeNotRun, 0},
		{"refuses after the grant", true, upstreamfaker.Faults{}, pimento.Grant{Fence: 5, Ranges: whole}, 5, pimento.OutcomeNotRun, 0},
		{"refuses other keys", true, upstreamfaker.Faults{}, pimento.Grant{Fence: 5, Ranges: []pimento.Range{{Start: 1, End: 2}}, ValidUntil: time.Hour}, 5, pimento.OutcomeNotRun, 0},
		{"crossed answer", false, upstreamfaker.Faults{CrossNext: 1}, pimento.Grant{}, 0, pimento.OutcomeUnknown, 1},
		{"cut answer", false, upstreamfaker.Faults{CutNext: 1}, pimento.Grant{}, 0, pimento.OutcomeUnknown, 1},
		{"late answer", false, upstreamfaker.Faults{Late: pimento.Span(20 * time.Millisecond)}, pimento.Grant{}, 0, pimento.OutcomeAnswered, 1},
		{"crash", false, upstreamfaker.Faults{CrashOn: "crate"}, pimento.Grant{}, 0, pimento.OutcomeUnknown, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := &upstreamfaker.Server{Name: "g1", Checked: c.checked}
			client := serve(t, s, accept)
			_, err := client.Grant(t.Context(), c.grant)
			is.NoErr(err)
			s.Inject(c.faults)
			is.Equal(run(t.Context(), client, c.fence), c.want)
			is.Equal(len(s.Journal()), c.runs)
		})
	}
}

// run sends an order and returns what is known of it.
func run(ctx context.Context, client *Client, fence uint64) pimento.Outcome {
	head := pimento.RequestHead{ID: "order", KeyHash: 9, Method: "POST", Path: "/order", BodyLength: 5, Deadline: time.Now().Add(5 * time.Second)}
	answer, err := client.Serve(ctx, head, fence, strings.NewReader("crate"))
	var out *pimento.OutcomeError
	if errors.As(err, &out) {
		return out.Outcome
	}
	defer answer.Body.Close()
	if _, err := io.ReadAll(answer.Body); err != nil {
		return pimento.OutcomeUnknown
	}
	return pimento.OutcomeAnswered
}

func TestNoConnectionMeansNotRun(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := netip.MustParseAddrPort(l.Addr().String())
	l.Close()
	client := New(pimento.Server{Name: "g1", Address: address, Connections: 1}, accept)
	is.Equal(run(t.Context(), client, 0), pimento.OutcomeNotRun)
}

func TestOldRunIsNotUsed(t *testing.T) {
	is := is.New(t)
	s := &upstreamfaker.Server{Name: "g1"}
	known := ""
	client := serve(t, s, func(a pimento.GrantAnswer) error {
		if known != "" && a.Boot != known {
			return errors.New("another run")
		}
		known = a.Boot
		return nil
	})
	is.Equal(run(t.Context(), client, 0), pimento.OutcomeAnswered)
	s.Start()
	is.True(run(t.Context(), client, 0) != pimento.OutcomeAnswered) // the old connection is gone
	is.Equal(run(t.Context(), client, 0), pimento.OutcomeNotRun)    // the new run is not accepted
	is.Equal(len(s.Journal()), 1)
}
