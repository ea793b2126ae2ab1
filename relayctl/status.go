package main

import (
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"pimentorelay.example/pimento"
)

const statusHelp = `Shows at a glance which processes run, which configuration is in force
where, what is out of service, and the state of every upstream.

Examples:

  relayctl status
  relayctl status --output json`

// overview is the state of the whole system.
type overview struct {
	Epoch         uint64
	ConfigVersion uint64
	Out           []string
	Processes     []processStatus
	Upstreams     []upstreamStatus
}

// processStatus is one process, or why it gave no answer.
type processStatus struct {
	pimento.Status
	Fault string
}

// upstreamStatus is one upstream with its dispatcher and slices.
type upstreamStatus struct {
	pimento.UpstreamReport
	Dispatcher pimento.ProcessID
	Slices     int
}

func newStatusCommand(c *client) *cobra.Command {
	return &cobra.Command{
		Use:   "status",
		Short: "Show the state of the system",
		Long:  statusHelp,
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			plan, err := c.processes(cmd.Context())
			if err != nil {
				return err
			}
			states, errs := fromAll[pimento.Status](cmd.Context(), c, plan.Processes, "/status")
			o := newOverview(&plan, states, errs)
			return c.print(o, o.write)
		},
	}
}

func newOverview(plan *pimento.Plan, states []pimento.Status, errs []error) *overview {
	o := &overview{Epoch: plan.Epoch, ConfigVersion: plan.ConfigVersion, Out: outOfService(plan)}
	seen := make(map[pimento.UpstreamName]upstreamStatus)
	for i, s := range states {
		p := processStatus{Status: s}
		if errs[i] != nil {
			p.Process, p.Fault = plan.Processes[i], errs[i].Error()
		}
		o.Processes = append(o.Processes, p)
		for _, u := range s.Upstreams {
			seen[u.Upstream] = upstreamStatus{UpstreamReport: u, Dispatcher: s.Process.ID}
		}
	}
	owned := ownedSlices(plan)
	for _, s := range plan.Config.Servers {
		u, ok := seen[s.Name]
		if !ok {
			u.Upstream, u.Condition = s.Name, "NotSeen"
		}
		u.Slices = owned[s.Name]
		o.Upstreams = append(o.Upstreams, u)
	}
	return o
}

func outOfService(plan *pimento.Plan) []string {
	var out []string
	for _, d := range plan.Config.Domains {
		if d.State == pimento.StateOut {
			out = append(out, "failure domain "+string(d.Name))
		}
	}
	for _, h := range plan.Config.Hosts {
		if h.State == pimento.StateLeaving {
			out = append(out, "host "+string(h.Name))
		}
	}
	return out
}

func ownedSlices(plan *pimento.Plan) map[pimento.UpstreamName]int {
	out := make(map[pimento.UpstreamName]int)
	for _, t := range plan.Services {
		for _, s := range t.Slices {
			if len(s.Owners) > 0 {
				out[s.Owners[0]]++
			}
		}
	}
	return out
}

func (o *overview) write(w io.Writer) {
	fmt.Fprintf(w, "plan %d, configuration version %d\n", o.Epoch, o.ConfigVersion)
	for _, name := range o.Out {
		fmt.Fprintf(w, "out of service: %s\n", name)
	}
	t := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	fmt.Fprintln(t, "\nPROCESS\tDOMAIN\tPLAN\tCONFIGURATION\tCONFIRMED\tWAITING\tFAULT")
	for _, p := range o.Processes {
		fmt.Fprintf(t, "%s\t%s\t%d\t%d\t%t\t%d\t%s\n", p.Process.ID, p.Process.Domain, p.Epoch, p.ConfigVersion, p.Confirmed, p.Waiting, p.Fault)
	}
	fmt.Fprintln(t, "\nUPSTREAM\tCONDITION\tSLICES\tIN FLIGHT\tLIMIT\tQUEUED\tREQUESTS/S\tDISPATCHER")
	for _, u := range o.Upstreams {
		fmt.Fprintf(t, "%s\t%s\t%d\t%d\t%d\t%d\t%.1f\t%s\n", u.Upstream, u.Condition, u.Slices, u.InFlight, u.Limit, u.Queued, u.Rate, u.Dispatcher)
	}
	t.Flush()
}
