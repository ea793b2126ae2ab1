package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"pimentorelay.example/pimento"
	"pimentorelay.example/pimento/parser"
	"pimentorelay.example/pimento/upstreamfaker"
)

const upstreamsHelp = `Serves every upstream of a sheet, or the one given by --only, on its address.

Examples:

  standin upstreams --sheet examples/ulaanbaatar.csv
  standin upstreams --sheet examples/ulaanbaatar.csv --only guidebook-3

  # Freeze an upstream, unfreeze it, slow it down tenfold:
  curl -X PUT http://127.0.0.1:21000/stand-in/faults -d '{"Freeze": true}'
  curl -X PUT http://127.0.0.1:21000/stand-in/faults -d '{}'
  curl -X PUT http://127.0.0.1:21000/stand-in/faults -d '{"SlowBy": 10}'

  # Show what it has run:
  curl http://127.0.0.1:21000/stand-in/report`

func newUpstreamsCommand() *cobra.Command {
	var sheet, only string
	var work time.Duration
	cmd := &cobra.Command{
		Use:   "upstreams",
		Short: "Serve the upstreams of a sheet",
		Long:  upstreamsHelp,
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			file, err := os.Open(sheet)
			if err != nil {
				return err
			}
			defer file.Close()
			config, err := parser.Parse(file)
			if err != nil {
				return err
			}
			ctx, stop := signal.NotifyContext(cmd.Context(), syscall.SIGTERM, syscall.SIGINT)
			defer stop()
			return serveUpstreams(ctx, &config, pimento.UpstreamName(only), work)
		},
	}
	f := cmd.Flags()
	f.StringVar(&sheet, "sheet", "", "file with the sheet")
	f.StringVar(&only, "only", "", "name of the one upstream to serve")
	f.DurationVar(&work, "work", 2*time.Millisecond, "how long a request occupies a slot")
	if err := cmd.MarkFlagRequired("sheet"); err != nil {
		panic(err) // the flag is defined above
	}
	return cmd
}

func serveUpstreams(ctx context.Context, config *pimento.Config, only pimento.UpstreamName, work time.Duration) error {
	errs := make(chan error, len(config.Servers))
	served := 0
	for _, s := range config.Servers {
		if only != "" && s.Name != only {
			continue
		}
		if !s.Address.Addr().IsLoopback() {
			return fmt.Errorf("upstream %q: %s is not a loopback address", s.Name, s.Address)
		}
		service, _ := config.Service(s.Service)
		upstream := &upstreamfaker.Server{Name: s.Name, Slots: s.Slots, Work: work, Keyed: service.Sharing == pimento.SharingKeyed}
		upstream.Start()
		server := upstream.HTTP()
		server.Addr = s.Address.String()
		context.AfterFunc(ctx, func() { server.Close() })
		go func() { errs <- server.ListenAndServe() }()
		served++
	}
	if served == 0 {
		return fmt.Errorf("the sheet has no upstream %q", only)
	}
	if err := <-errs; !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
