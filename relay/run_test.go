package main

import (
	"errors"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"pimentorelay.example/pimento"
)

func TestReportsAllInvalidSettings(t *testing.T) {
	is := is.New(t)
	o := &runOptions{Strength: -1, Peer: "localhost:1", Caller: "127.0.0.1", Operator: "0.0.0.0:1", Platform: "ftp://x", LogLevel: "loud"}
	_, err := o.router()
	var v *pimento.ValidationError
	is.True(errors.As(err, &v))
	is.Equal(len(v.Faults), 8)
}

func TestValidSettings(t *testing.T) {
	is := is.New(t)
	o := &runOptions{Host: "entry-1", Domain: "d1", Strength: 1, Peer: "127.0.0.1:1", Caller: "127.0.0.1:2", Operator: "127.0.0.1:3", Platform: "127.0.0.1:4", LogLevel: "info"}
	r, err := o.router()
	is.NoErr(err)
	is.Equal(r.Domain, pimento.DomainName("d1"))
}

// TestCheck checks that the command accepts a valid settings file and rejects an
// invalid one.
func TestCheck(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "node.yaml")
	writeFile(t, path, settingsText)
	cmd := newCheckCommand()
	var text strings.Builder
	cmd.SetOut(&text)
	cmd.SetArgs([]string{path})
	is.NoErr(cmd.Execute())
	is.True(strings.Contains(text.String(), "edge-a-1"))
	writeFile(t, path, strings.Replace(settingsText, "10.1.0.34:8548", "somewhere", 1))
	is.True(cmd.Execute() != nil)
}
