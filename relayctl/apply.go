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
	// readBackTries is how often a write without an answer is read back.
	readBackTries = 5
	readBackPause = 400 * time.Millisecond
	// forcePause is the time between two looks at whether a change is in force.
	forcePause = 100 * time.Millisecond
)

const applyHelp = `Makes a sheet the accepted configuration and waits until it is in force in
every process.

The write is conditional on the version that was read (or given by --based). If
another operator was faster, nothing is changed, the exit code is 4, and the
difference to what is accepted now is shown. If the platform's answer is lost,
the object is read back; if that fails too, the exit code is 5: nobody can tell
yet, and "relayctl diff" shows it later.

Examples:

  relayctl apply monday.csv
  relayctl apply monday.csv --based 42 --wait 10s`

// applied is the result of an apply.
type applied struct {
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
	cmd.Flags().Int64Var(&based, "based", -1, "version that the sheet was compared with; -1: the present one")
	cmd.Flags().DurationVar(&wait, "wait", 30*time.Second, "how long to wait until the sheet is in force")
	return cmd
}

func (c *client) apply(cmd *cobra.Command, config pimento.Config, based int64, deadline time.Time) error {
	ctx := cmd.Context()
	old, version, err := c.current(ctx)
	if err != nil {
		return err
	}
	if based >= 0 && uint64(based) != version {
		return c.conflict(ctx, config, uint64(based))
	}
	r := applied{Changes: parser.Diff(old, config), Version: version}
	if len(r.Changes) > 0 || version == 0 {
		if r.Version, err = c.write(ctx, config, version); err != nil {
			return err
		}
	}
	fmt.Fprintf(cmd.ErrOrStderr(), "accepted as version %d\n", r.Version)
	waitErr := c.awaitForce(ctx, cmd.ErrOrStderr(), &r, deadline)
	if err := c.print(r, func(w io.Writer) {
		fmt.Fprintf(w, "version %d with %d changes is in force in %d of %d processes\n", r.Version, len(r.Changes), r.InForce, r.Listed)
	}); err != nil {
		return err
	}
	return waitErr
}

// write accepts a configuration and returns its version.
func (c *client) write(ctx context.Context, config pimento.Config, based uint64) (uint64, error) {
	value, err := json.Marshal(config)
	if err != nil {
		return 0, err
	}
	e := pimento.Entry{Kind: surveyor.KindConfig, Name: surveyor.ConfigName, Revision: based, Value: value}
	save := c.store.Replace
	if based == 0 {
		save = c.store.Create
	}
	saved, err := save(ctx, e)
	var conflict *pimento.ConflictError
	var exists *pimento.ExistsError
	var lost *pimento.UnreachableError
	switch {
	case errors.As(err, &conflict), errors.As(err, &exists):
		return 0, c.conflict(ctx, config, based)
	case errors.As(err, &lost) && !lost.Unsent:
		return c.readBack(ctx, value, based, err)
	}
	return saved.Revision, err
}

// readBack finds out whether a write without an answer took effect.
func (c *client) readBack(ctx context.Context, value []byte, based uint64, cause error) (uint64, error) {
	for range readBackTries {
		time.Sleep(readBackPause)
		e, err := c.store.Get(ctx, surveyor.KindConfig, surveyor.ConfigName)
		if err == nil && sameJSON(e.Value, value) {
			return e.Revision, nil
		}
	}
	return 0, &uncertainError{cause: fmt.Errorf("it cannot be told whether the sheet was accepted; it was based on version %d: %w", based, cause)}
}

// conflict tells what another operator has changed.
func (c *client) conflict(ctx context.Context, config pimento.Config, based uint64) error {
	now, version, err := c.current(ctx)
	if err != nil {
		return err
	}
	fmt.Fprintf(c.out, "the configuration has moved on to version %d; the sheet would now change:\n", version)
	for _, change := range parser.Diff(now, config) {
		fmt.Fprintln(c.out, change)
	}
	return &pimento.ConflictError{Object: string(surveyor.KindConfig), Based: based, Current: version}
}

// sameJSON reports whether two documents say the same: the store may write
// JSON in its own way.
func sameJSON(a, b []byte) bool {
	var x, y any
	return json.Unmarshal(a, &x) == nil && json.Unmarshal(b, &y) == nil && reflect.DeepEqual(x, y)
}

// awaitForce waits until every process that runs has the version in force.
func (c *client) awaitForce(ctx context.Context, progress io.Writer, r *applied, deadline time.Time) error {
	last := -1
	for {
		a, err := c.assignment(ctx)
		if err == nil {
			list := active(&a)
			states, errs := fromAll[pimento.Status](ctx, c, list, "/status")
			r.Listed, r.InForce = len(states), 0
			for i, s := range states {
				if errs[i] == nil && s.Led && s.ManifestVersion >= r.Version {
					r.InForce++
				}
			}
			if r.InForce != last {
				fmt.Fprintf(progress, "in force in %d of %d processes\n", r.InForce, r.Listed)
				last = r.InForce
			}
			if r.Listed > 0 && r.InForce == r.Listed {
				return nil
			}
		}
		if time.Now().After(deadline) {
			return &uncertainError{cause: fmt.Errorf("version %d is accepted, but only seen in force in %d of %d processes", r.Version, r.InForce, r.Listed)}
		}
		time.Sleep(forcePause)
	}
}

// active returns the processes that the leader counts on.
func active(a *pimento.Assignment) []pimento.Process {
	var out []pimento.Process
	for _, m := range a.Members {
		if !m.Idle {
			out = append(out, m.Process)
		}
	}
	return out
}
