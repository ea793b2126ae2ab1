// Command load measures deployments that it runs in its own process.
//
// # Usage
//
//	load outage --runs 10
//	load overhead --for 5s
package main

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"
)

func main() {
	root := &cobra.Command{
		Use:           "load",
		Short:         "Measure deployments",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(newOutageCommand(), newOverheadCommand())
	if err := root.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "load:", err)
		os.Exit(1)
	}
}
