package main

import (
	"context"
	"errors"
	"net/http"
	"net/netip"
	"net/url"
	"os"
	"os/signal"
	"syscall"

	"github.com/hashicorp/go-hclog"
	"github.com/spf13/cobra"

	"pimentorelay.example/pimento"
	"pimentorelay.example/pimento/confirmer"
	"pimentorelay.example/pimento/runner"
	"pimentorelay.example/pimento/settings"
	"pimentorelay.example/pimento/storer"
)

const runHelp = `Runs one entry process until it is told to stop.

The process learns its addresses and failure domain only from these settings.
Each flag can also be set by an environment variable: PIMENTO_ and the flag's
name in capitals, with underscores for hyphens. A flag goes before its
variable. All settings are checked before anything starts.

SIGTERM or SIGINT begins a graceful shutdown: /readyz answers 503, what the
process dispatches is handed over, requests in flight are finished. A second
signal ends it at once.

Examples:

  relay run --host entry-1 --domain ub-bayangol \
    --peer 192.0.2.11:8401 --caller 192.0.2.11:8080 --operator 192.0.2.11:8402 \
    --platform http://192.0.2.7:8400

  PIMENTO_HOST=entry-1 PIMENTO_DOMAIN=ub-bayangol ... relay run`

// options are the settings of the daemon.
type options struct {
	Host     string
	Domain   string
	Peer     string
	Caller   string
	Operator string
	Platform string
	LogLevel string
	LogJSON  bool
	Token    string
}

func newRunCommand() *cobra.Command {
	o := &options{}
	cmd := &cobra.Command{
		Use:   "run",
		Short: "Run one entry process",
		Long:  runHelp,
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := settings.FromEnvironment(cmd.Flags(), os.LookupEnv); err != nil {
				return err
			}
			o.Token = os.Getenv(settings.Prefix + "TOKEN")
			return o.run(cmd.Context())
		},
	}
	f := cmd.Flags()
	f.StringVar(&o.Host, "host", "", "name of this host, as the platform lists it")
	f.StringVar(&o.Domain, "domain", "", "failure domain of this host")
	f.StringVar(&o.Peer, "peer", "127.0.0.1:8401", "IP address and UDP port for the other processes")
	f.StringVar(&o.Caller, "caller", "127.0.0.1:8080", "IP address and TCP port for callers")
	f.StringVar(&o.Operator, "operator", "127.0.0.1:8402", "IP address and TCP port for operators")
	f.StringVar(&o.Platform, "platform", "", "URL of the platform's object API")
	f.StringVar(&o.LogLevel, "log-level", "info", "lowest level that is logged: trace, debug, info, warn, error or off")
	f.BoolVar(&o.LogJSON, "log-json", false, "write the log as JSON")
	return cmd
}

// node checks all settings and returns the process that they describe.
func (o *options) node() (*runner.Node, error) {
	v := &pimento.ValidationError{Subject: "settings"}
	if o.Host == "" {
		v.Add("--host", o.Host, "a name")
	}
	if o.Domain == "" {
		v.Add("--domain", o.Domain, "a failure domain")
	}
	n := &runner.Node{
		Host: pimento.HostName(o.Host), Domain: pimento.DomainName(o.Domain), Token: o.Token,
		Peer: parseAddress(v, "--peer", o.Peer), Caller: parseAddress(v, "--caller", o.Caller),
		Operator: parseAddress(v, "--operator", o.Operator), Timing: confirmer.DefaultTiming(),
	}
	u, err := url.Parse(o.Platform)
	if err != nil || u.Host == "" || u.Scheme != "http" && u.Scheme != "https" {
		v.Add("--platform", o.Platform, "a URL such as http://192.0.2.7:8400")
	}
	level := hclog.LevelFromString(o.LogLevel)
	if level == hclog.NoLevel {
		v.Add("--log-level", o.LogLevel, "trace, debug, info, warn, error or off")
	}
	n.Platform = &storer.Client{Base: o.Platform, HTTP: &http.Client{}}
	n.Log = hclog.New(&hclog.LoggerOptions{Name: "relay", Level: level, JSONFormat: o.LogJSON, Output: os.Stderr})
	return n, v.Err()
}

func parseAddress(v *pimento.ValidationError, flag, text string) netip.AddrPort {
	a, err := netip.ParseAddrPort(text)
	if err != nil || a.Addr().IsUnspecified() {
		v.Add(flag, text, "an IP number of this host with a port, such as 192.0.2.11:8401")
	}
	return a
}

// run runs processes until one ends by a signal. An excluded process starts
// again under a new identity.
func (o *options) run(ctx context.Context) error {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	context.AfterFunc(ctx, stop) // a second signal ends the process at once
	for {
		n, err := o.node()
		if err != nil {
			return err
		}
		if err := n.Run(ctx); !errors.Is(err, runner.ErrExcluded) {
			return err
		}
	}
}
