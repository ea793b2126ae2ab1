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

const serveHelp = `Runs one process on the users' platform until it is told to stop.

Addresses, failure domain and bounds come from the platform's settings file,
whose path stands in the variable ` + platform.SettingsVariable + `. The manifest, the
upstreams and what the processes share lie in the platform's store.

SIGTERM or SIGINT begins a graceful shutdown: the process is not ready any more,
finishes what was sent to it, and ends within the grace that the settings allow.
SIGHUP rereads the settings file, which is also done when it changes. What cannot
change in a running process is logged and takes effect at the next start.

Examples:

  relay serve
  relay serve --operator 10.1.0.34:9464 --log-level debug`

// serveOptions are the settings of the daemon on the platform that do not come
// from its file.
type serveOptions struct {
	Operator string
	LogLevel string

	output *recorder.Writer // for the log
}

func newServeCommand() *cobra.Command {
	o := &serveOptions{output: &recorder.Writer{To: os.Stdout}}
	cmd := &cobra.Command{
		Use:   "serve",
		Short: "Run one process on the platform",
		Long:  serveHelp,
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			ctx, stop := signal.NotifyContext(cmd.Context(), syscall.SIGTERM, syscall.SIGINT)
			defer stop()
			o.output.Start()
			return errors.Join(o.run(ctx, os.Getenv(platform.SettingsVariable)), o.output.Close())
		},
	}
	f := cmd.Flags()
	f.StringVar(&o.Operator, "operator", "", "IP address and TCP port for metrics, status and time line; empty: nowhere")
	f.StringVar(&o.LogLevel, "log-level", "info", "lowest level that is logged: trace, debug, info, warn, error or off")
	return cmd
}

// run runs a process with the settings in a file.
func (o *serveOptions) run(ctx context.Context, path string) error {
	hangups, stop := watchHangup()
	defer stop()
	if path == "" {
		return fmt.Errorf("%s names no settings file", platform.SettingsVariable)
	}
	s, err := platform.ReadSettings(path)
	if err != nil {
		return err
	}
	r, err := o.router(s)
	if err != nil {
		return err
	}
	r.Started = func(pimento.Process) {
		x := &reloader{Path: path, Pause: reloadPause, Apply: r.SetBounds, Tell: r.Tell, settings: s}
		go x.run(ctx, hangups)
	}
	return r.Run(ctx)
}

// router checks all settings and returns the process that they describe.
func (o *serveOptions) router(s platform.Settings) (*router.Router, error) {
	v := &pimento.ValidationError{Subject: "settings"}
	level := parseLevel(v, o.LogLevel)
	var operator netip.AddrPort
	if o.Operator != "" {
		operator = parseAddress(v, "--operator", o.Operator)
	}
	log := hclog.New(&hclog.LoggerOptions{Name: "relay", Level: level, JSONFormat: true, Output: o.output})
	r := &router.Router{
		Host: s.Host, Domain: s.Domain, Peer: s.Peer, Strength: s.Strength, Caller: s.Caller,
		Ready: s.Ready, ReadyPath: platform.ReadyPath, Operator: operator,
		CallerWire: platform.Wire{}, UpstreamWire: platform.Wire{}, Bounds: s.Bounds, Log: log,
	}
	store := &platform.Store{Address: s.Store, HTTP: platform.NewHTTP(), OnResult: r.StoreResult}
	r.Store, r.Source = store, &platform.Registry{Store: store, OnFault: r.EntryFault}
	return r, v.Err()
}
