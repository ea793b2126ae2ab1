package main

import (
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"pimentorelay.example/pimento/storefaker"
)

const headerTimeout = 5 * time.Second

const platformHelp = `Serves the object API of the platform, in memory.

Examples:

  standin platform --address 127.0.0.1:8400

  # Take the platform down, and bring it up again:
  curl -X PUT http://127.0.0.1:8400/stand-in/faults -d '{"Outage": "Reset"}'
  curl -X PUT http://127.0.0.1:8400/stand-in/faults -d '{}'

  # Apply the next write without answering it:
  curl -X PUT http://127.0.0.1:8400/stand-in/faults -d '{"LoseAnswers": 1}'`

func newPlatformCommand() *cobra.Command {
	var address string
	cmd := &cobra.Command{
		Use:   "platform",
		Short: "Serve the platform's object API",
		Long:  platformHelp,
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			a, err := netip.ParseAddrPort(address)
			if err != nil || !a.Addr().IsLoopback() {
				return fmt.Errorf("--address %q is not a loopback IP address with a port", address)
			}
			ctx, stop := signal.NotifyContext(cmd.Context(), syscall.SIGTERM, syscall.SIGINT)
			defer stop()
			server := &http.Server{Addr: a.String(), Handler: storefaker.New(), ReadHeaderTimeout: headerTimeout}
			go func() {
				<-ctx.Done()
				server.Close()
			}()
			if err := server.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
				return err
			}
			return nil
		},
	}
	cmd.Flags().StringVar(&address, "address", "127.0.0.1:8400", "loopback IP address and TCP port")
	return cmd
}
