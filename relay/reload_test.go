package main

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"pimentorelay.example/pimento"
	"pimentorelay.example/pimento/platform"
)

const settingsText = `
node: "edge-a-1"
zone: "zone-a"
ip: "10.1.0.34"
listen: {front: "10.1.0.34:8548", ready: "10.1.0.34:8542"}
internal_ports: [7540, 7555]
bounds: {grace_s: 6, hold_max_s: 10, retry_budget_slack: 58}
platform: {address: "10.200.1.7:8541"}
`

// told is an event that a reloader logged.
type told struct {
	number pimento.EventNumber
	pairs  []any
}

// start runs a reloader over a file with settingsText.
func start(t *testing.T, pause time.Duration) (path string, applied chan pimento.Bounds, events chan told) {
	t.Helper()
	path = filepath.Join(t.TempDir(), "node.yaml")
	write(t, path, settingsText)
	s, err := platform.ReadSettings(path)
	if err != nil {
		t.Fatal(err)
	}
	applied, events = make(chan pimento.Bounds, 10), make(chan told, 10)
	r := &reloader{
		Path: path, Pause: pause, settings: s, Apply: func(b pimento.Bounds) { applied <- b },
		Tell: func(n pimento.EventNumber, pairs ...any) { events <- told{number: n, pairs: pairs} },
	}
	hangups, stop := watchHangup()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		r.run(ctx, hangups)
		close(done)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
		stop()
	})
	return path, applied, events
}

func write(t *testing.T, path, text string) {
	t.Helper()
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

func hangUp(t *testing.T) {
	t.Helper()
	if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
}

// TestHangup holds that SIGHUP rereads the settings and ends nothing, that
// faulty settings change nothing, and that those of the start stay where they
// cannot change in a running process.
func TestHangup(t *testing.T) {
	is := is.New(t)
	path, applied, events := start(t, time.Hour)
	write(t, path, strings.NewReplacer("58", "-1", "grace_s: 6", "grace_s: soon").Replace(settingsText))
	hangUp(t)
	e := <-events
	is.Equal(e.number, pimento.EventSettingsInvalid)
	write(t, path, strings.NewReplacer("58", "70", "hold_max_s: 10", "hold_max_s: 5").Replace(settingsText))
	hangUp(t)
	e = <-events
	is.Equal(e.number, pimento.EventSettingsChanged)
	is.Equal(e.pairs, []any{"Changed", []string{"bounds.retry_budget_slack"}, "AfterRestart", []string{"bounds.hold_max_s"}})
	b := <-applied
	is.Equal(b.RetrySlack, 70.0)
	is.Equal(b.MaxHold, 10*time.Second)
	is.Equal(len(applied), 0)
}

// TestChangeWithoutSignal holds that a file that is written without a signal is
// found.
func TestChangeWithoutSignal(t *testing.T) {
	is := is.New(t)
	path, applied, _ := start(t, 10*time.Millisecond)
	write(t, path, strings.Replace(settingsText, "grace_s: 6", "grace_s: 6.25", 1))
	is.Equal((<-applied).Shutdown, 6250*time.Millisecond)
}
