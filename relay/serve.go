package main

import (
	"os"
	"os/signal"
	"syscall"

	"github.com/hashicorp/go-hclog"
	"github.com/spf13/cobra"

	"pimentorelay.example/pimento/platform"
	"pimentorelay.example/pimento/router"
)

func newServeCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "serve",
		Short: "Run one process on the platform",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			s, err := platform.ReadSettings(os.Getenv(platform.SettingsVariable))
			if err != nil {
				return err
			}
			ctx, stop := signal.NotifyContext(cmd.Context(), syscall.SIGTERM, syscall.SIGINT)
			defer stop()
			r := &router.Router{Settings: s, Log: hclog.New(&hclog.LoggerOptions{Name: "relay", JSONFormat: true, Output: os.Stdout})}
			return r.Run(ctx)
		},
	}
}
