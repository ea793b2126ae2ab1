// Command soak runs the real entry processes against stand-ins and injects random
// faults from outside, which may overlap: processes are killed, paused, terminated
// and restarted; loopback proxies delay, reset or stall connections to the store
// and to upstreams; the store fails; upstreams freeze, go down, restart and answer
// wrongly. It compares the outcomes that callers received with the requests that
// upstreams ran, and exits non-zero if a guarantee was violated.
//
// # Usage
//
//	go build -o bin/ ./relay ./soak
//	bin/soak --seed 7 --for 30s
//	bin/soak --seed 1 --seeds 50 --for 20s --logs out/soak
//
// A seed determines the faults; which requests they affect depends on the machine.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/spf13/cobra"
)

func main() {
	s := &soak{}
	var seeds uint64
	root := &cobra.Command{
		Use:           "soak",
		Short:         "Check the guarantees of real processes under random faults",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(*cobra.Command, []string) error {
			failed := 0
			for range seeds {
				if err := s.run(); err != nil {
					fmt.Printf("seed %d: FAILED: %v\n", s.Seed, err)
					failed++
				}
				s.Seed++
			}
			if failed > 0 {
				return fmt.Errorf("%d of %d seeds failed", failed, seeds)
			}
			return nil
		},
	}
	f := root.Flags()
	f.Uint64Var(&s.Seed, "seed", 1, "first seed of the faults")
	f.Uint64Var(&seeds, "seeds", 1, "how many seeds to run, one after the other")
	f.DurationVar(&s.For, "for", 20*time.Second, "how long to inject faults")
	f.IntVar(&s.Entries, "entries", 5, "number of entry processes")
	f.IntVar(&s.Upstreams, "upstreams", 6, "number of upstreams of each service")
	f.StringVar(&s.Relay, "relay", "bin/relay", "executable of the entry processes")
	f.StringVar(&s.Logs, "logs", filepath.Join(os.TempDir(), "soak"), "directory for the logs of the entry processes")
	if err := root.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "soak:", err)
		os.Exit(1)
	}
}
