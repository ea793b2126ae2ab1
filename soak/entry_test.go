package main

import (
	"net/netip"
	"testing"
)

// TestEntriesHaveHostsOfTheirOwn guards against an entry process that cannot bind its port, since
// a stand-in on 127.0.0.1 has been given it in between.
func TestEntriesHaveHostsOfTheirOwn(t *testing.T) {
	for i := range 8 {
		e, err := newEntry(i, 3)
		if err != nil {
			t.Fatal(err)
		}
		for _, a := range []netip.AddrPort{e.peer, e.caller, e.operator} {
			if !a.Addr().IsLoopback() || a.Addr() == netip.AddrFrom4([4]byte{127, 0, 0, 1}) || a.Addr() != e.peer.Addr() {
				t.Errorf("%s binds %s, want a loopback host of its own", e.name, a)
			}
		}
	}
}
