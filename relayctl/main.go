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
// Exit codes: 0 done, 1 failed, 2 wrong usage, 3 the sheet is faulty, 4 the
// configuration has moved on meanwhile, 5 it cannot be told whether the
// change was accepted or is in force.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"pimentorelay.example/pimento"
)

// exitCode is what the program ends with.
type exitCode int

const (
	exitFailed    exitCode = 1
	exitUsage     exitCode = 2
	exitFaulty    exitCode = 3
	exitConflict  exitCode = 4
	exitUncertain exitCode = 5
)

// uncertainError says that the outcome of a change cannot be told.
type uncertainError struct{ cause error }

func (e *uncertainError) Error() string { return e.cause.Error() }

func (e *uncertainError) Unwrap() error { return e.cause }

// usageError says that flags or arguments are wrong.
type usageError struct{ cause error }

func (e *usageError) Error() string { return e.cause.Error() }

func main() {
	if err := newRootCommand().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "relayctl:", err)
		os.Exit(int(codeOf(err)))
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
	f.StringVar(&c.platform, "platform", "127.0.0.1:8400", "IP address and TCP port of the platform's store")
	f.StringVar(&c.output, "output", outputText, "text or json")
	root.AddCommand(newCheckCommand(c), newDiffCommand(c), newApplyCommand(c), newStatusCommand(c), newTimelineCommand(c), newExplainCommand())
	return root
}

func codeOf(err error) exitCode {
	var faulty *pimento.ValidationError
	var conflict *pimento.ConflictError
	var uncertain *uncertainError
	var usage *usageError
	switch {
	case errors.As(err, &uncertain):
		return exitUncertain
	case errors.As(err, &faulty):
		return exitFaulty
	case errors.As(err, &conflict):
		return exitConflict
	case errors.As(err, &usage):
		return exitUsage
	default:
		return exitFailed
	}
}
