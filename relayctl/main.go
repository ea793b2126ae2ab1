// Command relayctl is the operators' client of pimentorelay.
//
// # Usage
//
//	relayctl check sheet.csv
//	relayctl diff sheet.csv
//	relayctl apply sheet.csv
//	relayctl status
//	relayctl timeline
//	relayctl explain REQUEST LOG...
//
// Exit codes: 0 success, 1 failure, 2 invalid flag, 3 invalid sheet or
// environment variable, 4 the configuration has changed since the version that
// the sheet is based on, 5 it is unknown whether the change was accepted or is
// in force.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"pimentorelay.example/pimento"
)

// exitCode is the exit status; the package comment describes the values.
type exitCode int

const (
	exitFailed    exitCode = 1
	exitUsage     exitCode = 2
	exitInvalid   exitCode = 3
	exitConflict  exitCode = 4
	exitUncertain exitCode = 5
)

// uncertainError means that the outcome of a change is unknown.
type uncertainError struct{ cause error }

func (e *uncertainError) Error() string { return e.cause.Error() }

func (e *uncertainError) Unwrap() error { return e.cause }

// usageError means that a flag is invalid.
type usageError struct{ cause error }

func (e *usageError) Error() string { return e.cause.Error() }

func main() {
	if err := newRootCommand().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "relayctl:", err)
		os.Exit(int(exitCodeFor(err)))
	}
}

func newRootCommand() *cobra.Command {
	c := &client{}
	root := &cobra.Command{
		Use:           "relayctl",
		Short:         "Operators' client of pimentorelay",
		SilenceUsage:  true,
		SilenceErrors: true,
		PersistentPreRunE: func(cmd *cobra.Command, _ []string) error {
			return c.prepare(cmd)
		},
	}
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return &usageError{cause: err} })
	f := root.PersistentFlags()
	f.StringVar(&c.storeAddress, "platform", "127.0.0.1:8400", "IP address and TCP port of the platform's store")
	f.StringVar(&c.format, "output", formatText, "text or json")
	root.AddCommand(newCheckCommand(c), newDiffCommand(c), newApplyCommand(c), newStatusCommand(c), newTimelineCommand(c), newExplainCommand())
	return root
}

func exitCodeFor(err error) exitCode {
	var invalid *pimento.ValidationError
	var conflict *pimento.ConflictError
	var uncertain *uncertainError
	var usage *usageError
	switch {
	case errors.As(err, &uncertain):
		return exitUncertain
	case errors.As(err, &invalid):
		return exitInvalid
	case errors.As(err, &conflict):
		return exitConflict
	case errors.As(err, &usage):
		return exitUsage
	default:
		return exitFailed
	}
}
