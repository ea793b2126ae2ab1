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

// emittedEvent is an event emitted by a reloader.
type emittedEvent struct {
	number pimento.EventNumber
	pairs  []any
}

// startReloader runs a reloader on a temporary file with settingsText.
func startReloader(t *testing.T, pollInterval time.Duration) (path string, applied chan pimento.Bounds, events chan emittedEvent) {
	t.Helper()
	path = filepath.Join(t.TempDir(), "node.yaml")
	writeFile(t, path, settingsText)
	s, err := platform.ReadSettings(path)
	if err != nil {
		t.Fatal(err)
	}
	applied, events = make(chan pimento.Bounds, 10), make(chan emittedEvent, 10)
	r := &reloader{
		Path: path, PollInterval: pollInterval, settings: s, Apply: func(b pimento.Bounds) { applied <- b },
		Emit: func(n pimento.EventNumber, pairs ...any) { events <- emittedEvent{number: n, pairs: pairs} },
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

func writeFile(t *testing.T, path, text string) {
	t.Helper()
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

func sendHangup(t *testing.T) {
	t.Helper()
	if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
}

// TestHangup checks that SIGHUP rereads the settings without ending the process,
// that invalid settings change nothing, and that settings that need a restart
// keep their values from the start.
func TestHangup(t *testing.T) {
	is := is.New(t)
	path, applied, events := startReloader(t, time.Hour)
	writeFile(t, path, strings.NewReplacer("58", "-1", "grace_s: 6", "grace_s: soon").Replace(settingsText))
	sendHangup(t)
	e := <-events
	is.Equal(e.number, pimento.EventSettingsInvalid)
	writeFile(t, path, strings.NewReplacer("58", "70", "hold_max_s: 10", "hold_max_s: 5").Replace(settingsText))
	sendHangup(t)
	e = <-events
	is.Equal(e.number, pimento.EventSettingsChanged)
	is.Equal(e.pairs, []any{"Changed", []string{"bounds.retry_budget_slack"}, "AfterRestart", []string{"bounds.hold_max_s"}})
	b := <-applied
	is.Equal(b.RetrySlack, 70.0)
	is.Equal(b.MaxHold, 10*time.Second)
	is.Equal(len(applied), 0)
}

// TestChangeWithoutSignal checks that a changed file is reloaded without a
// signal.
func TestChangeWithoutSignal(t *testing.T) {
	is := is.New(t)
	path, applied, _ := startReloader(t, 10*time.Millisecond)
	writeFile(t, path, strings.Replace(settingsText, "grace_s: 6", "grace_s: 6.25", 1))
	is.Equal((<-applied).Shutdown, 6250*time.Millisecond)
}
