package main

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"os/signal"
	"syscall"

	"github.com/hashicorp/go-hclog"
	"github.com/spf13/cobra"

	"pimentorelay.example/pimento"
	"pimentorelay.example/pimento/platform"
	"pimentorelay.example/pimento/recorder"
	"pimentorelay.example/pimento/router"
)

const serveHelp = `Runs one process on the users' platform until it receives SIGTERM or SIGINT.

Addresses, failure domain and bounds come from the platform's settings file,
whose path is in the environment variable ` + platform.SettingsVariable + `. The
manifest, the upstreams and the state shared by the processes are in the
platform's store.

SIGTERM or SIGINT begins a graceful shutdown: the process reports that it is not
ready, finishes the requests that were sent to it, and ends within grace_s of the
settings. The settings file is reread at SIGHUP and when it changes. Changed
settings that need a restart are logged and take effect at the next start.

Examples:

  relay serve
  relay serve --operator 10.1.0.34:9464 --log-level debug`

// serveOptions are the flags of the serve command; all other settings come from
// the platform's settings file.
type serveOptions struct {
	Operator string
	LogLevel string

	logOutput *recorder.Writer
}

func newServeCommand() *cobra.Command {
	o := &serveOptions{logOutput: &recorder.Writer{To: os.Stdout}}
	cmd := &cobra.Command{
		Use:   "serve",
		Short: "Run one process on the platform",
		Long:  serveHelp,
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			ctx, stop := signal.NotifyContext(cmd.Context(), syscall.SIGTERM, syscall.SIGINT)
			defer stop()
			o.logOutput.Start()
			return errors.Join(o.run(ctx, os.Getenv(platform.SettingsVariable)), o.logOutput.Close())
		},
	}
	f := cmd.Flags()
	f.StringVar(&o.Operator, "operator", "", "IP address and TCP port for metrics, status and timeline; empty: none")
	f.StringVar(&o.LogLevel, "log-level", "info", "lowest level that is logged: trace, debug, info, warn, error or off")
	return cmd
}

// run runs a process with the settings in the file at path until ctx ends.
func (o *serveOptions) run(ctx context.Context, path string) error {
	hangups, stop := watchHangup()
	defer stop()
	if path == "" {
		return fmt.Errorf("no settings file: %s is not set", platform.SettingsVariable)
	}
	s, err := platform.ReadSettings(path)
	if err != nil {
		return err
	}
	r, err := o.router(s)
	if err != nil {
		return err
	}
	r.OnRegistered = func(pimento.Process) {
		rl := &reloader{Path: path, PollInterval: settingsPollInterval, Apply: r.SetBounds, Emit: r.LogEvent, settings: s}
		go rl.run(ctx, hangups)
	}
	limitRuntime(r.Memory)
	return r.Run(ctx)
}

// router checks the flags and returns a router configured by them and by s.
func (o *serveOptions) router(s platform.Settings) (*router.Router, error) {
	v := &pimento.ValidationError{Subject: "settings"}
	level := parseLevel(v, o.LogLevel)
	var operator netip.AddrPort
	if o.Operator != "" {
		operator = parseAddress(v, "--operator", o.Operator)
	}
	log := hclog.New(&hclog.LoggerOptions{Name: "relay", Level: level, JSONFormat: true, Output: o.logOutput})
	r := &router.Router{
		Host: s.Host, Domain: s.Domain, Peer: s.Peer, Strength: s.Strength, Caller: s.Caller,
		Ready: s.Ready, ReadyPath: platform.ReadyPath, Operator: operator,
		CallerWire: platform.Wire{}, UpstreamWire: platform.Wire{}, Bounds: s.Bounds, Log: log,
		Memory: s.Memory, Connections: callerConnections(s.Descriptors),
	}
	if r.Memory == 0 {
		r.Memory = systemMemory()
	}
	store := &platform.Store{Address: s.Store, HTTP: platform.NewHTTPClient(), OnResult: r.ObserveStoreCall, OnEra: r.ObserveStoreEra}
	r.Store, r.Source = store, &platform.Registry{Store: store, OnInvalidEntry: r.ReportInvalidEntry}
	return r, v.Err()
}
