package main

import (
	"context"
	"errors"
	"net/netip"
	"os"
	"os/signal"
	"strconv"
	"syscall"

	"github.com/hashicorp/go-hclog"
	"github.com/spf13/cobra"

	"pimentorelay.example/pimento"
	"pimentorelay.example/pimento/platform"
	"pimentorelay.example/pimento/recorder"
	"pimentorelay.example/pimento/router"
	"pimentorelay.example/pimento/settings"
	"pimentorelay.example/pimento/surveyor"
	"pimentorelay.example/pimento/translator"
)

const runHelp = `Runs one entry process until it receives SIGTERM or SIGINT.

The addresses and the failure domain of the process come only from these flags.
Each flag can also be set by an environment variable: PIMENTO_ and the flag's
name in capitals, with underscores for hyphens. A flag takes precedence over its
variable. All settings are checked before anything starts.

SIGTERM or SIGINT begins a graceful shutdown: /readyz answers 503, other
processes take over its dispatching, and requests in flight are finished. A
second signal ends the process at once.

Examples:

  relay run --host entry-1 --domain ub-bayangol \
    --peer 192.0.2.11:8401 --caller 192.0.2.11:8080 --operator 192.0.2.11:8402 \
    --platform 192.0.2.7:8400

  PIMENTO_HOST=entry-1 PIMENTO_DOMAIN=ub-bayangol ... relay run`

// runOptions are the flags of the run command, and the operator token.
type runOptions struct {
	Host     string
	Domain   string
	Strength float64
	Bounds   pimento.Bounds
	Memory   string
	Peer     string
	Caller   string
	Operator string
	Platform string
	// Connections is how many callers may be connected; zero: as descriptors allow.
	Connections int
	LogLevel    string
	LogJSON     bool
	Token       string

	logOutput *recorder.Writer
}

func newRunCommand() *cobra.Command {
	o := &runOptions{Bounds: pimento.DefaultBounds(), logOutput: &recorder.Writer{To: os.Stderr}}
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
			o.logOutput.Start()
			return errors.Join(o.run(cmd.Context()), o.logOutput.Close())
		},
	}
	f := cmd.Flags()
	f.StringVar(&o.Host, "host", "", "name of this host, as the platform lists it")
	f.StringVar(&o.Domain, "domain", "", "failure domain of this host")
	f.StringVar(&o.Peer, "peer", "127.0.0.1:8401", "IP address and TCP port for the other processes")
	f.StringVar(&o.Caller, "caller", "127.0.0.1:8080", "IP address and TCP port for callers")
	f.StringVar(&o.Operator, "operator", "127.0.0.1:8402", "IP address and TCP port for operators")
	f.Float64Var(&o.Strength, "strength", 1, "capacity of this host relative to the others; the strongest hosts are preferred for the leader")
	f.StringVar(&o.Platform, "platform", "", "IP address and TCP port of the platform's store")
	f.StringVar(&o.LogLevel, "log-level", "info", "lowest level that is logged: trace, debug, info, warn, error or off")
	f.DurationVar(&o.Bounds.Revocation, "revocation", o.Bounds.Revocation, "time after which an API key that was taken away must not be used, also without the store; 0: no such bound")
	f.DurationVar(&o.Bounds.QuotaWindow, "quota-window", o.Bounds.QuotaWindow, "time over which the excess of quotas counts")
	f.Float64Var(&o.Bounds.QuotaOvershoot, "quota-overshoot", o.Bounds.QuotaOvershoot, "part by which a customer may exceed its quota in that time")
	f.Float64Var(&o.Bounds.QuotaSlack, "quota-slack", o.Bounds.QuotaSlack, "requests by which it may exceed it besides")
	f.StringVar(&o.Memory, "memory", "", "memory of the process, such as 184MiB; empty: that of the machine or of its control group")
	f.IntVar(&o.Connections, "connections", 0, "most connections of callers; 0: as many as the descriptors of the process allow")
	f.BoolVar(&o.LogJSON, "log-json", false, "write the log as JSON")
	return cmd
}

// router checks all flags and returns a router configured by them. The error
// lists every invalid flag.
func (o *runOptions) router() (*router.Router, error) {
	v := &pimento.ValidationError{Subject: "settings"}
	if o.Host == "" {
		v.Add("--host", o.Host, "the name of this host")
	}
	if o.Domain == "" {
		v.Add("--domain", o.Domain, "the name of a failure domain")
	}
	if !(o.Strength > 0) {
		v.Add("--strength", strconv.FormatFloat(o.Strength, 'g', -1, 64), "a number above zero")
	}
	o.checkBounds(v)
	if o.Connections < 0 {
		v.Add("--connections", strconv.Itoa(o.Connections), "zero or more")
	}
	if o.Connections == 0 {
		o.Connections = callerConnections(0)
	}
	r := &router.Router{
		Memory: parseMemory(v, "--memory", o.Memory), Connections: o.Connections,
		Host: pimento.HostName(o.Host), Domain: pimento.DomainName(o.Domain), Strength: o.Strength, Token: o.Token,
		Peer: parseAddress(v, "--peer", o.Peer), Caller: parseAddress(v, "--caller", o.Caller),
		Operator: parseAddress(v, "--operator", o.Operator), Bounds: o.Bounds, RequireKey: true,
		CallerWire: translator.Wire{}, UpstreamWire: translator.Wire{},
	}
	store := &platform.Store{HTTP: platform.NewHTTPClient(), OnResult: r.ObserveStoreCall, OnEra: r.ObserveStoreEra, Address: parseAddress(v, "--platform", o.Platform)}
	r.Store, r.Source = store, &surveyor.Surveyor{Store: store}
	r.Log = hclog.New(&hclog.LoggerOptions{Name: "relay", Level: parseLevel(v, o.LogLevel), JSONFormat: o.LogJSON, Output: o.logOutput})
	return r, v.Err()
}

// checkBounds adds the bounds that are no numbers of zero or more.
func (o *runOptions) checkBounds(v *pimento.ValidationError) {
	for _, b := range []struct {
		flag  string
		value float64
	}{
		{"--revocation", o.Bounds.Revocation.Seconds()}, {"--quota-window", o.Bounds.QuotaWindow.Seconds()},
		{"--quota-overshoot", o.Bounds.QuotaOvershoot}, {"--quota-slack", o.Bounds.QuotaSlack},
	} {
		if !(b.value >= 0) {
			v.Add(b.flag, strconv.FormatFloat(b.value, 'g', -1, 64), "zero or more")
		}
	}
}

func parseLevel(v *pimento.ValidationError, text string) hclog.Level {
	level := hclog.LevelFromString(text)
	if level == hclog.NoLevel {
		v.Add("--log-level", text, "trace, debug, info, warn, error or off")
	}
	return level
}

func parseAddress(v *pimento.ValidationError, flag, text string) netip.AddrPort {
	a, err := netip.ParseAddrPort(text)
	if err != nil || a.Addr().IsUnspecified() {
		v.Add(flag, text, "a specific IP address with a port, such as 192.0.2.11:8401")
	}
	return a
}

// run runs the process until a signal ends it.
func (o *runOptions) run(ctx context.Context) error {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	context.AfterFunc(ctx, stop) // a second signal ends the process at once
	r, err := o.router()
	if err != nil {
		return err
	}
	limitRuntime(r.Memory)
	return r.Run(ctx)
}
