package main

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"pimentorelay.example/pimento"
)

const timelineHelp = `Gathers the latest events of all processes and shows them in one order.
The order holds across processes: an event that could have caused another
stands before it. docs/EVENTS.md explains each number.

Examples:

  relayctl timeline
  relayctl timeline --since 5m --number 5001,5002
  relayctl timeline --html > timeline.html`

func newTimelineCommand(c *client) *cobra.Command {
	var since time.Duration
	var numbers []int
	var html bool
	cmd := &cobra.Command{
		Use:   "timeline",
		Short: "Show the events of all processes in one order",
		Long:  timelineHelp,
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			lists, err := c.events(cmd)
			if err != nil {
				return err
			}
			events := merge(lists, time.Now().Add(-since), numbers)
			if html {
				return writeHTML(c.out, events)
			}
			return c.print(events, func(w io.Writer) { writeEvents(w, events) })
		},
	}
	f := cmd.Flags()
	f.DurationVar(&since, "since", time.Hour, "how far back to go")
	f.IntSliceVar(&numbers, "number", nil, "only events with these numbers")
	f.BoolVar(&html, "html", false, "write a page with a picture")
	return cmd
}

// events returns the latest events of every process that answers.
func (c *client) events(cmd *cobra.Command) ([][]pimento.Event, error) {
	processes, err := c.processes(cmd.Context())
	if err != nil {
		return nil, err
	}
	lists, errs := fromAll[[]pimento.Event](cmd.Context(), c, processes, "/timeline")
	for i, err := range errs {
		if err != nil {
			fmt.Fprintf(cmd.ErrOrStderr(), "process %s gave no events: %v\n", processes[i].ID, err)
		}
	}
	return lists, nil
}

// merge puts the events of all processes in one order.
func merge(lists [][]pimento.Event, since time.Time, numbers []int) []pimento.Event {
	out := []pimento.Event{}
	for _, list := range lists {
		for _, e := range list {
			wanted := len(numbers) == 0 || slices.Contains(numbers, int(e.Number))
			if wanted && e.Stamp.Wall.After(since) {
				out = append(out, e)
			}
		}
	}
	slices.SortStableFunc(out, func(a, b pimento.Event) int {
		switch {
		case a.Stamp.Before(b.Stamp):
			return -1
		case b.Stamp.Before(a.Stamp):
			return 1
		default:
			return strings.Compare(string(a.Process), string(b.Process))
		}
	})
	return out
}

func writeEvents(w io.Writer, events []pimento.Event) {
	for _, e := range events {
		fmt.Fprintf(w, "%s %s %d %s%s\n", e.Stamp.Wall.Format("15:04:05.000000"), e.Process, e.Number, e.Name, attributes(e))
	}
}

func attributes(e pimento.Event) string {
	var b strings.Builder
	for _, a := range e.Attributes {
		fmt.Fprintf(&b, " %s=%q", a.Name, a.Value)
	}
	return b.String()
}
