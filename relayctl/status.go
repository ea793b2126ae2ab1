package main

import (
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"pimentorelay.example/pimento"
)

const statusHelp = `Shows the processes and the configuration version of each, what is out of
service, and the state of every upstream.

Examples:

  relayctl status
  relayctl status --output json`

// overview is the state of the whole system.
type overview struct {
	Epoch         uint64
	Leader        pimento.ProcessID
	ConfigVersion uint64
	Out           []string
	Processes     []processStatus
	Upstreams     []upstreamStatus
	Quotas        []pimento.QuotaReport `json:",omitempty"` // of customers that ask for something
}

// processStatus is the status of one process, or why it could not be fetched.
type processStatus struct {
	pimento.Status
	Idle  bool // gets no dispatching; see pimento.Member
	Fault string
}

// upstreamStatus is one upstream with its dispatcher and keys.
type upstreamStatus struct {
	pimento.UpstreamReport
	Seen       bool // a process reports that it dispatches to it
	Dispatcher pimento.ProcessID
	Keys       int
	BarredAt   []pimento.ProcessID `json:",omitempty"` // processes that may send nothing to it
}

func newStatusCommand(c *client) *cobra.Command {
	return &cobra.Command{
		Use:   "status",
		Short: "Show the state of the system",
		Long:  statusHelp,
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			ctx := cmd.Context()
			a, err := c.assignment(ctx)
			if err != nil {
				return err
			}
			config, revision, err := c.currentConfig(ctx)
			if err != nil {
				return err
			}
			processes := make([]pimento.Process, len(a.Members))
			for i, m := range a.Members {
				processes[i] = m.Process
			}
			statuses, errs := fetchFromAll[pimento.Status](ctx, c, processes, "/status")
			o := newOverview(&a, &config, statuses, errs)
			o.ConfigVersion = revision.Number
			return c.printResult(o, o.write)
		},
	}
}

func newOverview(a *pimento.Assignment, config *pimento.Config, statuses []pimento.Status, errs []error) *overview {
	o := &overview{Epoch: a.Term.Epoch, Leader: a.Term.Leader, Out: outOfService(config)}
	reported := make(map[pimento.UpstreamName]upstreamStatus)
	for i, s := range statuses {
		p := processStatus{Status: s, Idle: a.Members[i].Idle}
		if errs[i] != nil {
			p.Process, p.Fault = a.Members[i].Process, errs[i].Error()
		}
		o.Processes = append(o.Processes, p)
		if s.Leads {
			o.Quotas = s.Quotas
		}
		for _, u := range s.Dispatches {
			reported[u.Upstream] = upstreamStatus{UpstreamReport: u, Seen: true, Dispatcher: s.Process.ID}
		}
	}
	keys, barred := keysHeld(a), barredAt(statuses)
	for _, s := range config.Servers {
		u := reported[s.Name]
		u.Upstream, u.Service, u.Keys = s.Name, s.Service, keys[s.Name]
		u.BarredAt = barred[s.Name]
		o.Upstreams = append(o.Upstreams, u)
	}
	return o
}

// barredAt returns the processes that may send nothing to an upstream, by upstream.
func barredAt(statuses []pimento.Status) map[pimento.UpstreamName][]pimento.ProcessID {
	out := make(map[pimento.UpstreamName][]pimento.ProcessID)
	for _, s := range statuses {
		for _, b := range s.Barred {
			out[b.Upstream] = append(out[b.Upstream], s.Process.ID)
		}
	}
	return out
}

func outOfService(config *pimento.Config) []string {
	var out []string
	for _, d := range config.Domains {
		if d.State == pimento.StateOut {
			out = append(out, "failure domain "+string(d.Name))
		}
	}
	for _, h := range config.Hosts {
		if h.State == pimento.StateLeaving {
			out = append(out, "host "+string(h.Name))
		}
	}
	return out
}

// keysHeld returns how many keys each upstream holds or is to hold.
func keysHeld(a *pimento.Assignment) map[pimento.UpstreamName]int {
	out := make(map[pimento.UpstreamName]int)
	for _, t := range a.Tables {
		for _, h := range t.Holdings {
			out[h.Holder.Upstream] += h.Len()
		}
	}
	return out
}

func (o *overview) write(w io.Writer) {
	fmt.Fprintf(w, "epoch %d, led by %s, configuration version %d\n", o.Epoch, o.Leader, o.ConfigVersion)
	for _, name := range o.Out {
		fmt.Fprintf(w, "out of service: %s\n", name)
	}
	t := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	fmt.Fprintln(t, "\nPROCESS\tDOMAIN\tCONFIGURATION\tLED\tREADY\tACTIVE\tWAITING\tRECORDS\tFAULT")
	for _, p := range o.Processes {
		fmt.Fprintf(t, "%s\t%s\t%d\t%t\t%t\t%d\t%d\t%d\t%s\n", p.Process.ID, p.Process.Domain, p.ManifestVersion,
			p.Led, p.Ready, p.Active, p.Waiting, p.Records, p.Fault)
	}
	fmt.Fprintln(t, "\nUPSTREAM\tCONDITION\tKEYS\tRUNNING\tSLOTS\tBEARS/S\tSLOW\tFAILING\tDISPATCHER")
	for _, u := range o.Upstreams {
		fmt.Fprintf(t, "%s\t%s\t%d\t%d\t%d\t%.1f\t%.1f\t%.2f\t%s\n", u.Upstream, u.condition(), u.Keys, u.Running, u.Slots,
			u.Capacity, u.Slowness, u.FailureRate, u.Dispatcher)
	}
	if len(o.Quotas) > 0 {
		fmt.Fprintln(t, "\nCUSTOMER\tQUOTA/S\tASKS FOR/S\tEXHAUSTED")
	}
	for _, q := range o.Quotas {
		fmt.Fprintf(t, "%s\t%.1f\t%.1f\t%t\n", q.Customer, q.Rate, q.Demand, q.Exhausted)
	}
	t.Flush()
}

// condition returns the state of an upstream as one word.
func (u upstreamStatus) condition() string {
	switch {
	case !u.Seen:
		return "NotSeen"
	case !u.Usable:
		return "NoNewWork"
	case len(u.BarredAt) > 0:
		return fmt.Sprintf("BarredAt:%d", len(u.BarredAt))
	case u.Limit > 0:
		return fmt.Sprintf("Limited:%.3g/s", u.Limit)
	case u.Cold:
		return "Cold"
	default:
		return "Usable"
	}
}
