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

With --manifest it follows a version of the manifest instead: when each process had
it and from where, who lacked it, and the first request under it.

Pass the logs of all processes: a request is often decided by another process
than the one that accepted it. Without files, or with "-", standard input is read.
docs/OPERATIONS.md walks through three failed requests and a late manifest.

Examples:

  relayctl explain 9c41d07be2a35f68 entry-*.log
  relayctl explain --manifest 12 entry-*.log
  journalctl -u relay -o cat | relayctl explain 9c41d07be2a35f68`

func newExplainCommand() *cobra.Command {
	var manifest uint64
	cmd := &cobra.Command{
		Use:   "explain ID [FILE...]",
		Short: "Show from logs what happened to a request or a manifest",
		Long:  explainHelp,
		Args: func(cmd *cobra.Command, args []string) error {
			if manifest > 0 {
				return nil
			}
			return cobra.MinimumNArgs(1)(cmd, args)
		},
		RunE: func(cmd *cobra.Command, args []string) error {
			if manifest > 0 {
				return explainManifest(cmd, manifest, args)
			}
			return explainRequest(cmd, args[0], args[1:])
		},
	}
	cmd.Flags().Uint64Var(&manifest, "manifest", 0, "follow this version of the manifest instead of a request")
	return cmd
}

// explainRequest prints what the logs contain about a request.
func explainRequest(cmd *cobra.Command, id string, files []string) error {
	log, err := readLogs(files, cmd.InOrStdin())
	if err != nil {
		return err
	}
	report, ok := log.Explain(id)
	if !ok {
		return fmt.Errorf("no events of request %s in the logs (%d lines skipped as not being events)", id, log.Skipped)
	}
	report.Write(cmd.OutOrStdout())
	return nil
}

// explainManifest prints what the logs contain about a version of the manifest.
func explainManifest(cmd *cobra.Command, version uint64, files []string) error {
	log, err := readLogs(files, cmd.InOrStdin())
	if err != nil {
		return err
	}
	report, ok := log.ExplainManifest(version)
	if !ok {
		return fmt.Errorf("no events of manifest %d in the logs (%d lines skipped as not being events)", version, log.Skipped)
	}
	report.Write(cmd.OutOrStdout())
	return nil
}

// readLogs reads log files, or stdin if there are none.
func readLogs(files []string, stdin io.Reader) (*explainer.Log, error) {
	if len(files) == 0 {
		files = []string{"-"}
	}
	log := &explainer.Log{}
	for _, name := range files {
		if err := readLog(log, name, stdin); err != nil {
			return nil, err
		}
	}
	return log, nil
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
