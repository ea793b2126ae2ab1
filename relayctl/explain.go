package main

import (
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"

	"pimentorelay.example/pimento/explainer"
)

const explainHelp = `Reads the logs of any number of processes and prints what happened to a request,
in order, and the state that the processes knew at the time: of the manifest, the
leader, the store, its key and its upstreams, with the age of each.

Pass the logs of all processes: a request is often decided by another process
than the one that accepted it. Without files, or with "-", standard input is read.
docs/OPERATIONS.md walks through three failed requests.

Examples:

  relayctl explain 9c41d07be2a35f68 entry-*.log
  journalctl -u relay -o cat | relayctl explain 9c41d07be2a35f68`

func newExplainCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "explain ID [FILE...]",
		Short: "Show from logs what happened to a request",
		Long:  explainHelp,
		Args:  cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			var log explainer.Log
			files := args[1:]
			if len(files) == 0 {
				files = []string{"-"}
			}
			for _, name := range files {
				if err := readLog(&log, name, cmd.InOrStdin()); err != nil {
					return err
				}
			}
			report, ok := log.Explain(args[0])
			if !ok {
				return fmt.Errorf("no events of request %s in the logs (%d lines skipped as not being events)", args[0], log.Skipped)
			}
			report.Write(cmd.OutOrStdout())
			return nil
		},
	}
}

// readLog adds the lines of a file, or of stdin if its name is "-".
func readLog(log *explainer.Log, name string, stdin io.Reader) error {
	if name == "-" {
		return log.Read(stdin)
	}
	file, err := os.Open(name)
	if err != nil {
		return err
	}
	defer file.Close()
	return log.Read(file)
}
