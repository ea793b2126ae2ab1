// Command soak runs the real entry processes beside stand-ins and brings about
// drawn failures from outside of them, one after the other and overlapping:
// processes are killed, paused, told to end and started again, connections to
// the store and to upstreams are cut, delayed, reset or silenced by loopback
// proxies, the store fails, upstreams freeze and fall silent. It compares what
// callers were told with what upstreams have run, and exits non-zero if a
// promise was broken.
//
// # Usage
//
//	go build -o bin/ ./relay ./soak
//	bin/soak --seed 7 --for 30s
//	bin/soak --seed 1 --seeds 50 --for 20s --logs out/soak
//
// The same seed draws the same failures; when they meet which request depends on
// the machine.
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
		Short:         "Check the promises under drawn failures of real processes",
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
	f.Uint64Var(&s.Seed, "seed", 1, "first seed of the failures")
	f.Uint64Var(&seeds, "seeds", 1, "how many seeds to run, one after the other")
	f.DurationVar(&s.For, "for", 20*time.Second, "how long failures go on")
	f.IntVar(&s.Entries, "entries", 5, "number of entry processes")
	f.IntVar(&s.Upstreams, "upstreams", 6, "number of upstreams of each service")
	f.StringVar(&s.Relay, "relay", "bin/relay", "program of the entry processes")
	f.StringVar(&s.Logs, "logs", filepath.Join(os.TempDir(), "soak"), "folder for the logs of the entry processes")
	if err := root.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "soak:", err)
		os.Exit(1)
	}
}
