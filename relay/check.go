package main

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"pimentorelay.example/pimento/platform"
)

const checkHelp = `Reads a settings file of the platform and names every fault in it. Without an
argument it reads the file that the variable ` + platform.SettingsVariable + `
names. Nothing is started, and fields that are not known are left alone.

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
				return fmt.Errorf("no file is given, and %s names none", platform.SettingsVariable)
			}
			s, err := platform.ReadSettings(path)
			if err != nil {
				return err
			}
			fmt.Fprintf(cmd.OutOrStdout(), "settings are sound: host %s in %s, callers at %s, store at %s\n", s.Host, s.Domain, s.Caller, s.Store)
			return nil
		},
	}
}
