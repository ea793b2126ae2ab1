package main

import (
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"pimentorelay.example/pimento/parser"
)

const diffHelp = `Shows what a sheet would change in the accepted configuration, and the
version of that configuration. Pass this version to "apply --based" so that the
sheet is rejected if the configuration changes in between.

Examples:

  relayctl diff monday.csv
  relayctl diff monday.csv --output json`

// diffResult is what a sheet would change.
type diffResult struct {
	Based   uint64
	Changes []parser.Change
}

func newDiffCommand(c *client) *cobra.Command {
	return &cobra.Command{
		Use:   "diff SHEET",
		Short: "Show what a sheet would change",
		Long:  diffHelp,
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			config, err := readSheet(args[0])
			if err != nil {
				return err
			}
			old, revision, err := c.currentConfig(cmd.Context())
			if err != nil {
				return err
			}
			d := diffResult{Based: revision.Number, Changes: parser.Diff(old, config)}
			return c.printResult(d, func(w io.Writer) {
				for _, change := range d.Changes {
					fmt.Fprintln(w, change)
				}
				fmt.Fprintf(w, "%d changes to version %d\n", len(d.Changes), d.Based)
			})
		},
	}
}
