// Command relay is one entry process of pimentorelay. It takes requests from
// callers, passes each to the process that dispatches its key, and dispatches
// the upstreams that the plan gives it.
//
// # Usage
//
//	relay run --host entry-1 --domain ub-bayangol --platform http://192.0.2.7:8400
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
	root.AddCommand(newRunCommand(), newServeCommand())
	if err := root.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "relay:", err)
		os.Exit(1)
	}
}
