// Command relay runs one entry process of pimentorelay. It accepts requests
// from callers, sends each to an upstream with a permit from the dispatcher of
// that upstream, dispatches for the pools that the assignment gives it, and may
// be elected leader.
//
// # Usage
//
//	relay run --host entry-1 --domain ub-bayangol --platform 192.0.2.7:8400
//	relay serve
//	relay check node.yaml
//
// SIGTERM and SIGINT begin a graceful shutdown.
package main

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"
)

func main() {
	root := &cobra.Command{
		Use:           "relay",
		Short:         "Entry process of pimentorelay",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(newRunCommand(), newServeCommand(), newCheckCommand())
	if err := root.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "relay:", err)
		os.Exit(1)
	}
}
