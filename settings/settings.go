// Package settings reads the settings of a program from flags and environment
// variables, and reports every invalid variable at once.
//
// Every flag has an environment variable of the same name in capitals, with
// underscores for hyphens, after the prefix PIMENTO_. A flag overrides its
// variable.
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

// Prefix starts the name of every environment variable.
const Prefix = "PIMENTO_"

// Variable returns the name of a flag's environment variable.
func Variable(flag string) string {
	return Prefix + strings.ToUpper(strings.ReplaceAll(flag, "-", "_"))
}

// FromEnvironment sets each flag that is missing on the command line to the value
// of its variable, if there is one. The error lists every variable with an invalid
// value.
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
