package main

import (
	"fmt"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// entry is one entry process with the addresses that it keeps when it is
// started again.
type entry struct {
	name     string
	domain   string
	peer     netip.AddrPort
	caller   netip.AddrPort
	operator netip.AddrPort

	mu      sync.Mutex
	cmd     *exec.Cmd
	ended   chan struct{}
	started int
}

// freePort returns a loopback address that nobody uses now.
func freePort() (netip.AddrPort, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return netip.AddrPort{}, err
	}
	defer l.Close()
	return l.Addr().(*net.TCPAddr).AddrPort(), nil
}

func newEntry(i, domains int) (*entry, error) {
	e := &entry{name: fmt.Sprintf("entry-%d", i), domain: fmt.Sprintf("d%d", i%domains)}
	for _, to := range []*netip.AddrPort{&e.peer, &e.caller, &e.operator} {
		address, err := freePort()
		if err != nil {
			return nil, err
		}
		*to = address
	}
	return e, nil
}

// start starts the process unless it runs.
func (e *entry) start(program, logs string, store netip.AddrPort) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cmd != nil {
		return nil
	}
	e.started++
	log, err := os.Create(filepath.Join(logs, fmt.Sprintf("%s-%d.log", e.name, e.started)))
	if err != nil {
		return err
	}
	cmd := exec.Command(program, "run", "--host", e.name, "--domain", e.domain, "--platform", store.String(), "--log-json",
		"--peer", e.peer.String(), "--caller", e.caller.String(), "--operator", e.operator.String())
	cmd.Stderr = log
	if err := cmd.Start(); err != nil {
		log.Close()
		return err
	}
	ended := make(chan struct{})
	e.cmd, e.ended = cmd, ended
	go func() {
		// How it ended stands in its log; that it ended is all that counts.
		_ = cmd.Wait()
		log.Close()
		e.mu.Lock()
		if e.cmd == cmd {
			e.cmd = nil
		}
		e.mu.Unlock()
		close(ended)
	}()
	return nil
}

// signal sends a signal if the process runs, and reports whether it does.
func (e *entry) signal(s syscall.Signal) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cmd != nil && e.cmd.Process.Signal(s) == nil
}

// wait waits for the end of the process.
func (e *entry) wait(d time.Duration) {
	e.mu.Lock()
	ended := e.ended
	e.mu.Unlock()
	select {
	case <-ended:
	case <-time.After(d):
	}
}
