package connector

import (
	"errors"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"pimentorelay.example/pimento"
	"pimentorelay.example/pimento/platform"
	"pimentorelay.example/pimento/timekeeper"
)

// TestLateGrantIsWithheld guards against a grant whose time has passed here and that is
// taken for one that could not be delivered, and the other way round.
func TestLateGrantIsWithheld(t *testing.T) {
	accepting := newFakeServer(t, func(p *peer) { p.readRequest(true) })
	for _, c := range []struct {
		name     string
		address  netip.AddrPort
		left     time.Duration // until it must not be sent any more
		withheld bool
	}{
		{"its time has passed", accepting.address, -time.Second, true},
		{"nobody listens", netip.MustParseAddrPort("127.0.0.1:1"), time.Second, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			client := &Client{Server: pimento.Server{Name: "i-1", Address: c.address}, Wire: platform.Wire{}}
			grant := pimento.KeyGrant{Range: pimento.AllKeys, Fence: 1, Hold: time.Second, SendBefore: timekeeper.Now().Add(c.left)}
			var unreachable *pimento.UnreachableError
			is.True(errors.As(client.Grant(t.Context(), grant), &unreachable))
			is.True(unreachable.Unsent)
			is.Equal(unreachable.Withheld, c.withheld)
		})
	}
}
