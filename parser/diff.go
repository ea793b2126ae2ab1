package parser

import (
	"fmt"

	"pimentorelay.example/pimento"
)

// ChangeKind says how an entry differs between two configurations.
type ChangeKind string

// The kinds of change.
const (
	ChangeAdded   ChangeKind = "Added"
	ChangeRemoved ChangeKind = "Removed"
	ChangeAltered ChangeKind = "Altered"
)

// Change is one difference between two configurations.
type Change struct {
	Change ChangeKind
	Kind   Kind
	Name   string
	Before string
	After  string
}

// String formats the change as one line.
func (c Change) String() string {
	switch c.Change {
	case ChangeAdded:
		return fmt.Sprintf("+ %s %q: %s", c.Kind, c.Name, c.After)
	case ChangeRemoved:
		return fmt.Sprintf("- %s %q: %s", c.Kind, c.Name, c.Before)
	default:
		return fmt.Sprintf("~ %s %q: %s -> %s", c.Kind, c.Name, c.Before, c.After)
	}
}

// Diff returns the changes that turn one configuration into another.
func Diff(before, after pimento.Config) []Change {
	var out []Change
	out = append(out, diffEntries(KindCategory, before.Categories, after.Categories, func(x pimento.Category) (string, string) {
		if x.Public {
			return string(x.Name), string(x.Service) + ", public"
		}
		return string(x.Name), string(x.Service)
	})...)
	out = append(out, diffEntries(KindService, before.Services, after.Services, func(x pimento.Service) (string, string) {
		return string(x.Name), fmt.Sprintf("%s, %s", x.Sharing, x.Fencing)
	})...)
	out = append(out, diffEntries(KindDomain, before.Domains, after.Domains, func(x pimento.Domain) (string, string) {
		return string(x.Name), string(x.State)
	})...)
	out = append(out, diffEntries(KindHost, before.Hosts, after.Hosts, func(x pimento.Host) (string, string) {
		return string(x.Name), fmt.Sprintf("%s, %s", x.Domain, x.State)
	})...)
	out = append(out, diffEntries(KindUpstream, before.Servers, after.Servers, func(x pimento.Server) (string, string) {
		return string(x.Name), fmt.Sprintf("%s on %s at %s, %d slots, %d connections", x.Service, x.Host, x.Address, x.Slots, x.Connections)
	})...)
	out = append(out, diffEntries(KindCustomer, before.Customers, after.Customers, func(x pimento.Customer) (string, string) {
		return string(x.Name), describeCustomer(x)
	})...)
	return out
}

func diffEntries[T any](kind Kind, before, after []T, describe func(T) (name, text string)) []Change {
	old := make(map[string]string, len(before))
	for _, x := range before {
		name, text := describe(x)
		old[name] = text
	}
	var out []Change
	for _, x := range after {
		name, text := describe(x)
		was, ok := old[name]
		delete(old, name)
		switch {
		case !ok:
			out = append(out, Change{Change: ChangeAdded, Kind: kind, Name: name, After: text})
		case was != text:
			out = append(out, Change{Change: ChangeAltered, Kind: kind, Name: name, Before: was, After: text})
		}
	}
	for _, x := range before {
		if name, text := describe(x); old[name] == text && text != "" {
			if _, removed := old[name]; removed {
				out = append(out, Change{Change: ChangeRemoved, Kind: kind, Name: name, Before: text})
			}
		}
	}
	return out
}
