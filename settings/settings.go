// Package settings reads the settings of a program from flags and environment
// variables and checks them as a whole before anything starts.
//
// Every flag has an environment variable of the same name in capitals, with
// underscores for hyphens, after the prefix PIMENTO_. A flag that is set goes
// before its variable.
//
// # Usage
//
//	if err := settings.FromEnvironment(cmd.Flags(), os.LookupEnv); err != nil {
//		return err
//	}
package settings

import (
	"strings"

	"github.com/spf13/pflag"

	"pimentorelay.example/pimento"
)

// Prefix begins the name of every environment variable.
const Prefix = "PIMENTO_"

// Variable returns the environment variable of a flag.
func Variable(flag string) string {
	return Prefix + strings.ToUpper(strings.ReplaceAll(flag, "-", "_"))
}

// FromEnvironment fills flags that were not set from their variables. The
// error names every variable whose value its flag refuses.
func FromEnvironment(flags *pflag.FlagSet, lookup func(string) (string, bool)) error {
	faults := &pimento.ValidationError{Subject: "environment"}
	flags.VisitAll(func(f *pflag.Flag) {
		value, ok := lookup(Variable(f.Name))
		if !ok || f.Changed {
			return
		}
		if err := flags.Set(f.Name, value); err != nil {
			faults.Add(Variable(f.Name), value, "a value of type "+f.Value.Type())
		}
	})
	return faults.Err()
}
