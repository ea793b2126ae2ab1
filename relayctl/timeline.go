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

const timelineHelp = `Fetches the latest events of all processes and shows them in one causal
order: an event that could have caused another comes before it, also across
processes. docs/EVENTS.md explains each number.

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
			lists, err := c.fetchEvents(cmd)
			if err != nil {
				return err
			}
			events := mergeEvents(lists, time.Now().Add(-since), numbers)
			if html {
				return writeHTML(c.out, events)
			}
			return c.printResult(events, func(w io.Writer) { writeEvents(w, events) })
		},
	}
	f := cmd.Flags()
	f.DurationVar(&since, "since", time.Hour, "how far back to show events")
	f.IntSliceVar(&numbers, "number", nil, "only events with these numbers")
	f.BoolVar(&html, "html", false, "write an HTML page with a chart")
	return cmd
}

// fetchEvents returns the latest events of every process that answers, and
// prints an error for each of the others.
func (c *client) fetchEvents(cmd *cobra.Command) ([][]pimento.Event, error) {
	processes, err := c.processes(cmd.Context())
	if err != nil {
		return nil, err
	}
	lists, errs := fetchFromAll[[]pimento.Event](cmd.Context(), c, processes, "/timeline")
	for i, err := range errs {
		if err != nil {
			fmt.Fprintf(cmd.ErrOrStderr(), "cannot fetch events of process %s: %v\n", processes[i].ID, err)
		}
	}
	return lists, nil
}

// mergeEvents returns the events with the given numbers, or all, after since, in
// the order of their stamps.
func mergeEvents(lists [][]pimento.Event, since time.Time, numbers []int) []pimento.Event {
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
		fmt.Fprintf(w, "%s %s %d %s%s\n", e.Stamp.Wall.Format("15:04:05.000000"), e.Process, e.Number, e.Name, formatAttributes(e))
	}
}

func formatAttributes(e pimento.Event) string {
	var b strings.Builder
	for _, a := range e.Attributes {
		fmt.Fprintf(&b, " %s=%q", a.Name, a.Value)
	}
	return b.String()
}
