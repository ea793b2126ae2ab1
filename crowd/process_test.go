//go:build crowd

package crowd

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"pimentorelay.example/pimento/assembler"
	"pimentorelay.example/pimento/parser"
)

const (
	// memory is the setting of the process, in bytes: its resident memory must never be more.
	memory = 96 << 20
	// connections is the setting of the process: how many callers may be connected. Its
	// descriptors must stay below maxDescriptors, which leaves room for all else.
	connections    = 200
	maxDescriptors = 300
	// answerTimeout is how long an ordinary caller tries until it is answered. It is no
	// bound of the product: the process hangs if that is not enough.
	answerTimeout = 2 * time.Minute
	sheetHeader   = "Kind,Name,Service,Domain,Host,Address,Sharing,Fencing,Slots,Connections,State\n"
	readPath      = "/orders/read"
)

// program is the entry process, built by TestMain.
var program string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "crowd")
	if err != nil {
		panic(err)
	}
	program = filepath.Join(dir, "relay")
	if out, err := exec.Command("go", "build", "-o", program, "../relay").CombinedOutput(); err != nil {
		panic(fmt.Sprintf("%v: %s", err, out))
	}
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

// process is an entry process beside stand-ins of the store and of the upstreams.
type process struct {
	t      *testing.T
	caller netip.AddrPort
	cmd    *exec.Cmd
	exited chan struct{}
}

// start starts the stand-ins and the process, and waits until it answers.
func start(t *testing.T) *process {
	t.Helper()
	var b strings.Builder
	b.WriteString(sheetHeader + "Service,partsdesk,,,,,Unkeyed,Unchecked,,,\nCategory,orders,partsdesk,,,,,,,,\nDomain,d0,,,,,,,,,In\nHost,h0,,d0,,,,,,,Arriving\n")
	for i := range 4 {
		fmt.Fprintf(&b, "Upstream,partsdesk-%d,partsdesk,,h0,127.0.0.1:%d,,,8,50,\n", i, 1000+i)
	}
	config, err := parser.Parse(strings.NewReader(b.String()))
	if err != nil {
		t.Fatal(err)
	}
	d := &assembler.Deployment{Config: config, Work: time.Millisecond, Warm: true, ExternalEntries: true}
	if err := d.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Stop)
	if _, err := d.Apply(t.Context(), d.Config); err != nil {
		t.Fatal(err)
	}
	p := &process{t: t, exited: make(chan struct{})}
	addresses := freeAddresses(t, 3)
	p.caller = addresses[0]
	log, err := os.Create(filepath.Join(t.TempDir(), "log"))
	if err != nil {
		t.Fatal(err)
	}
	p.cmd = exec.Command(program, "run", "--host", "entry-1", "--domain", "d0", "--platform", d.StoreAddress().String(),
		"--caller", addresses[0].String(), "--peer", addresses[1].String(), "--operator", addresses[2].String())
	p.cmd.Env = append(os.Environ(), "PIMENTO_MEMORY="+strconv.Itoa(memory), "PIMENTO_CONNECTIONS="+strconv.Itoa(connections))
	p.cmd.Stderr = log
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		_ = p.cmd.Wait() // how it ended is of no interest: that it did is
		close(p.exited)
	}()
	t.Cleanup(func() {
		p.cmd.Process.Signal(syscall.SIGKILL)
		<-p.exited
		log.Close()
	})
	p.awaitAnswer()
	return p
}

// freeAddresses returns unused loopback addresses.
func freeAddresses(t *testing.T, n int) []netip.AddrPort {
	t.Helper()
	var out []netip.AddrPort
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer l.Close()
		out = append(out, l.Addr().(*net.TCPAddr).AddrPort())
	}
	return out
}

// awaitAnswer sends ordinary requests, each on a connection of its own, until one is answered.
func (p *process) awaitAnswer() {
	p.t.Helper()
	ctx, cancel := context.WithTimeout(p.t.Context(), answerTimeout)
	defer cancel()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 10 * time.Second}
	var last error
	for ctx.Err() == nil {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.caller.String()+readPath, nil)
		if err != nil {
			p.t.Fatal(err)
		}
		res, err := client.Do(req)
		if err == nil {
			res.Body.Close()
			if res.StatusCode == http.StatusOK {
				return
			}
			err = fmt.Errorf("status %d", res.StatusCode)
		}
		last = err
		time.Sleep(50 * time.Millisecond)
	}
	p.t.Fatalf("an ordinary request was not answered: %v", last)
}

// check checks what must hold whatever callers send: the process lives, its memory and its
// descriptors stay below their bounds, and an ordinary request is answered, while the crowd
// is still connected.
func (p *process) check() {
	p.t.Helper()
	p.checkAlive()
	p.awaitAnswer()
	peak, descriptors := p.peakMemory(), p.descriptors()
	p.t.Logf("peak of the resident memory %d MiB, %d descriptors", peak>>20, descriptors)
	if peak > memory {
		p.t.Errorf("resident memory of %d MiB, allowed are %d", peak>>20, memory>>20)
	}
	if descriptors > maxDescriptors {
		p.t.Errorf("%d descriptors, allowed are %d", descriptors, maxDescriptors)
	}
	p.checkAlive()
}

func (p *process) checkAlive() {
	p.t.Helper()
	select {
	case <-p.exited:
		p.t.Fatal("the process has ended")
	default:
	}
}

// peakMemory returns the peak of the resident memory of the process in bytes.
func (p *process) peakMemory() int {
	p.t.Helper()
	f, err := os.Open(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		p.t.Fatal(err)
	}
	defer f.Close()
	for s := bufio.NewScanner(f); s.Scan(); {
		var kib int
		if n, err := fmt.Sscanf(s.Text(), "VmHWM: %d kB", &kib); err == nil && n == 1 {
			return kib << 10
		}
	}
	p.t.Fatal("the peak of the memory is not known")
	return 0
}

// descriptors returns how many descriptors the process has open.
func (p *process) descriptors() int {
	p.t.Helper()
	list, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
	if err != nil {
		p.t.Fatal(err)
	}
	return len(list)
}
