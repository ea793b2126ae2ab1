package main

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"pimentorelay.example/pimento/platform"
)

const checkHelp = `Validates a settings file of the platform and reports every error in it. Without
an argument it reads the file named by the environment variable
` + platform.SettingsVariable + `. Nothing is started, and unknown fields are ignored.

Examples:

  relay check
  relay check /etc/pimentorelay/node.yaml`

func newCheckCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "check [FILE]",
		Short: "Check a settings file of the platform",
		Long:  checkHelp,
		Args:  cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			path := os.Getenv(platform.SettingsVariable)
			if len(args) > 0 {
				path = args[0]
			}
			if path == "" {
				return fmt.Errorf("no settings file: no FILE argument, and %s is not set", platform.SettingsVariable)
			}
			s, err := platform.ReadSettings(path)
			if err != nil {
				return err
			}
			fmt.Fprintf(cmd.OutOrStdout(), "settings are valid: host %s in %s, callers at %s, store at %s\n", s.Host, s.Domain, s.Caller, s.Store)
			return nil
		},
	}
}
