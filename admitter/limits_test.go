package admitter

import (
	"testing"

	"github.com/matryer/is"

	"pimentorelay.example/pimento"
)

// TestPartsOfLimit guards against processes whose parts of a limit add up to more than
// one and a half times the limit.
func TestPartsOfLimit(t *testing.T) {
	is := is.New(t)
	n := newNetwork(t)
	sum := 0.0
	for _, id := range []pimento.ProcessID{"a", "b", "c"} {
		a := n.nodes[id]
		a.mu.Lock()
		sum += a.share(poolKey{service: "s"})
		a.mu.Unlock()
	}
	outsider := n.nodes["a"]
	outsider.mu.Lock()
	share := outsider.share(poolKey{service: "another"})
	sum += share * float64(len(outsider.state.Processes))
	outsider.mu.Unlock()
	is.True(share > 0)
	is.True(sum <= 1.5)
}
