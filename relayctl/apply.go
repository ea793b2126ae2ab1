package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"reflect"
	"time"

	"github.com/spf13/cobra"

	"pimentorelay.example/pimento"
	"pimentorelay.example/pimento/parser"
	"pimentorelay.example/pimento/surveyor"
)

const (
	// readBackAttempts bounds the reads after a write without an answer.
	readBackAttempts = 5
	readBackInterval = 400 * time.Millisecond
	// statusPollInterval is the time between two checks whether a change is in
	// force.
	statusPollInterval = 100 * time.Millisecond
)

const applyHelp = `Makes a sheet the accepted configuration and waits until it is in force in
every process.

The write is conditional on the version that was read (or given by --based). If
the configuration was changed in between, nothing is written, the exit code is
4, and what the sheet would now change is shown. If the answer of the store is
lost, the configuration is read back. If that does not show the change, the exit
code is 5: the change may still take effect, and "relayctl diff" shows later
whether it did. It is also 5 if --wait has passed before the change is known to
be in force in every process.

Examples:

  relayctl apply monday.csv
  relayctl apply monday.csv --based 42 --wait 10s`

// applyResult is the result of an apply.
type applyResult struct {
	Version uint64
	InForce int // processes where the version is in force
	Listed  int
	Changes []parser.Change
}

func newApplyCommand(c *client) *cobra.Command {
	var based int64
	var wait time.Duration
	cmd := &cobra.Command{
		Use:   "apply SHEET",
		Short: "Make a sheet the accepted configuration",
		Long:  applyHelp,
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			config, err := readSheet(args[0])
			if err != nil {
				return err
			}
			return c.apply(cmd, config, based, time.Now().Add(wait))
		},
	}
	cmd.Flags().Int64Var(&based, "based", -1, "version that the sheet is based on; -1: the current one")
	cmd.Flags().DurationVar(&wait, "wait", 30*time.Second, "how long to wait until the sheet is in force")
	return cmd
}

func (c *client) apply(cmd *cobra.Command, config pimento.Config, based int64, deadline time.Time) error {
	ctx := cmd.Context()
	old, current, err := c.currentConfig(ctx)
	if err != nil {
		return err
	}
	if based >= 0 && uint64(based) != current.Number {
		return c.reportConflict(ctx, config, uint64(based))
	}
	r := applyResult{Changes: parser.Diff(old, config), Version: current.Number}
	if len(r.Changes) > 0 || current.IsZero() {
		if r.Version, err = c.writeConfig(ctx, config, current); err != nil {
			return err
		}
	}
	fmt.Fprintf(cmd.ErrOrStderr(), "accepted as version %d\n", r.Version)
	waitErr := c.awaitInForce(ctx, cmd.ErrOrStderr(), &r, deadline)
	if err := c.printResult(r, func(w io.Writer) {
		fmt.Fprintf(w, "version %d with %d changes is in force in %d of %d processes\n", r.Version, len(r.Changes), r.InForce, r.Listed)
	}); err != nil {
		return err
	}
	return waitErr
}

// writeConfig replaces revision based of the configuration, zero if there is none
// yet, and returns the new version.
func (c *client) writeConfig(ctx context.Context, config pimento.Config, based pimento.Revision) (uint64, error) {
	value, err := json.Marshal(config)
	if err != nil {
		return 0, err
	}
	e := pimento.Entry{Kind: surveyor.KindConfig, Name: surveyor.ConfigName, Revision: based, Value: value}
	save := c.store.Replace
	if based.IsZero() {
		save = c.store.Create
	}
	saved, err := save(ctx, e)
	var conflict *pimento.ConflictError
	var exists *pimento.ExistsError
	var unreachable *pimento.UnreachableError
	switch {
	case errors.As(err, &conflict), errors.As(err, &exists):
		return 0, c.reportConflict(ctx, config, based.Number)
	case errors.As(err, &unreachable) && !unreachable.Unsent:
		return c.readBack(ctx, value, based.Number, err)
	case err == nil && saved.Revision.Era != based.Era && !based.IsZero():
		return 0, &uncertainError{cause: fmt.Errorf("the store was restored from a copy after version %d was read: %w", based.Number, errRestored)}
	}
	return saved.Revision.Number, err
}

// errRestored is the cause if another version may have been replaced than the one read.
var errRestored = errors.New("another version may have been replaced; check it and apply the sheet again")

// readBack finds out whether a write without an answer took effect.
func (c *client) readBack(ctx context.Context, value []byte, based uint64, cause error) (uint64, error) {
	for range readBackAttempts {
		time.Sleep(readBackInterval)
		e, err := c.store.Get(ctx, surveyor.KindConfig, surveyor.ConfigName)
		if err == nil && sameJSON(e.Value, value) {
			return e.Revision.Number, nil
		}
	}
	return 0, &uncertainError{cause: fmt.Errorf("unknown whether the sheet, based on version %d, was accepted: %w", based, cause)}
}

// reportConflict prints what the sheet would change in the current
// configuration, and returns the conflict.
func (c *client) reportConflict(ctx context.Context, config pimento.Config, based uint64) error {
	current, revision, err := c.currentConfig(ctx)
	if err != nil {
		return err
	}
	fmt.Fprintf(c.out, "the configuration is now version %d; the sheet would change:\n", revision.Number)
	for _, change := range parser.Diff(current, config) {
		fmt.Fprintln(c.out, change)
	}
	return &pimento.ConflictError{Object: string(surveyor.KindConfig), BaseVersion: based, Current: revision.Number}
}

// sameJSON reports whether two JSON documents have the same content; the store
// may format them differently.
func sameJSON(a, b []byte) bool {
	var x, y any
	return json.Unmarshal(a, &x) == nil && json.Unmarshal(b, &y) == nil && reflect.DeepEqual(x, y)
}

// awaitInForce waits until the version is in force in every active process, or
// the deadline passes.
func (c *client) awaitInForce(ctx context.Context, progress io.Writer, r *applyResult, deadline time.Time) error {
	lastInForce := -1
	for {
		a, err := c.assignment(ctx)
		if err == nil {
			processes := activeProcesses(&a)
			statuses, errs := fetchFromAll[pimento.Status](ctx, c, processes, "/status")
			r.Listed, r.InForce = len(statuses), 0
			for i, s := range statuses {
				if errs[i] == nil && s.Led && s.ManifestVersion >= r.Version {
					r.InForce++
				}
			}
			if r.InForce != lastInForce {
				fmt.Fprintf(progress, "in force in %d of %d processes\n", r.InForce, r.Listed)
				lastInForce = r.InForce
			}
			if r.Listed > 0 && r.InForce == r.Listed {
				return nil
			}
		}
		if time.Now().After(deadline) {
			return &uncertainError{cause: fmt.Errorf("version %d is accepted, but known to be in force in only %d of %d processes", r.Version, r.InForce, r.Listed)}
		}
		time.Sleep(statusPollInterval)
	}
}

// activeProcesses returns the processes that are not idle; see pimento.Member.
func activeProcesses(a *pimento.Assignment) []pimento.Process {
	var out []pimento.Process
	for _, m := range a.Members {
		if !m.Idle {
			out = append(out, m.Process)
		}
	}
	return out
}
