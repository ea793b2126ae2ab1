package main

import (
	"fmt"
	"io"

	"github.com/spf13/cobra"
)

const checkHelp = `Validates a sheet and reports every error with its row, column and value.
Nothing is changed, and no process or platform is needed.

Examples:

  relayctl check monday.csv
  relayctl check - < monday.csv`

// checkResult counts the contents of a valid sheet.
type checkResult struct {
	Categories int
	Services   int
	Domains    int
	Hosts      int
	Upstreams  int
	Customers  int `json:",omitempty"`
}

func newCheckCommand(c *client) *cobra.Command {
	return &cobra.Command{
		Use:   "check SHEET",
		Short: "Check a sheet",
		Long:  checkHelp,
		Args:  cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			config, err := readSheet(args[0])
			if err != nil {
				return err
			}
			r := checkResult{len(config.Categories), len(config.Services), len(config.Domains), len(config.Hosts), len(config.Servers), len(config.Customers)}
			return c.printResult(r, func(w io.Writer) {
				fmt.Fprintf(w, "sheet is valid: %d categories, %d services, %d failure domains, %d hosts, %d upstreams, %d customers\n",
					r.Categories, r.Services, r.Domains, r.Hosts, r.Upstreams, r.Customers)
			})
		},
	}
}
