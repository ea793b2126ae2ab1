package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// entry is one entry process. It keeps its addresses across restarts.
type entry struct {
	name     string
	domain   string
	peer     netip.AddrPort
	caller   netip.AddrPort
	operator netip.AddrPort

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
	starts int
}

// randomHost returns a loopback address that hardly any other program uses. A port of 127.0.0.1
// that was free may belong to a stand-in or to another program when the process binds it, at
// its start or again after a restart.
func randomHost() netip.Addr {
	return netip.AddrFrom4([4]byte{127, byte(1 + rand.N(250)), byte(1 + rand.N(250)), byte(1 + rand.N(250))})
}

// freePort returns an unused address of a host.
func freePort(host netip.Addr) (netip.AddrPort, error) {
	l, err := net.Listen("tcp", netip.AddrPortFrom(host, 0).String())
	if err != nil {
		return netip.AddrPort{}, err
	}
	defer l.Close()
	return l.Addr().(*net.TCPAddr).AddrPort(), nil
}

func newEntry(i, domains int) (*entry, error) {
	e := &entry{name: fmt.Sprintf("entry-%d", i), domain: fmt.Sprintf("d%d", i%domains)}
	host := randomHost()
	for _, field := range []*netip.AddrPort{&e.peer, &e.caller, &e.operator} {
		address, err := freePort(host)
		if err != nil {
			return nil, err
		}
		*field = address
	}
	return e, nil
}

// start starts the process unless it is running.
func (e *entry) start(program, logDir string, store netip.AddrPort) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cmd != nil {
		return nil
	}
	e.starts++
	log, err := os.Create(filepath.Join(logDir, fmt.Sprintf("%s-%d.log", e.name, e.starts)))
	if err != nil {
		return err
	}
	cmd := exec.Command(program, "run", "--host", e.name, "--domain", e.domain, "--platform", store.String(), "--log-json",
		"--revocation", revocation.String(), "--quota-overshoot", fmt.Sprint(quotaOvershoot), "--quota-slack", fmt.Sprint(quotaSlack),
		"--peer", e.peer.String(), "--caller", e.caller.String(), "--operator", e.operator.String())
	cmd.Stderr = log
	if err := cmd.Start(); err != nil {
		log.Close()
		return err
	}
	exited := make(chan struct{})
	e.cmd, e.exited = cmd, exited
	go func() {
		// The log has the cause; only the exit itself matters here.
		_ = cmd.Wait()
		log.Close()
		e.mu.Lock()
		if e.cmd == cmd {
			e.cmd = nil
		}
		e.mu.Unlock()
		close(exited)
	}()
	return nil
}

// signal sends a signal if the process is running, and reports whether it was sent.
func (e *entry) signal(s syscall.Signal) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cmd != nil && e.cmd.Process.Signal(s) == nil
}

// awaitExit waits until the process exits or the timeout is over.
func (e *entry) awaitExit(timeout time.Duration) {
	e.mu.Lock()
	exited := e.exited
	e.mu.Unlock()
	select {
	case <-exited:
	case <-time.After(timeout):
	}
}
