// Command standin serves small stand-ins for the platform and for upstreams
// on loopback, for manual testing. docs/WIRES.md lists the faults that can be
// injected over HTTP.
//
// # Usage
//
//	standin platform --address 127.0.0.1:8400
//	standin upstreams --sheet examples/ulaanbaatar.csv
package main

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"
)

func main() {
	root := &cobra.Command{
		Use:           "standin",
		Short:         "Stand-ins for the platform and for upstreams",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(newPlatformCommand(), newUpstreamsCommand())
	if err := root.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(1)
	}
}
