// Package assembler starts a whole deployment in one process: the stand-ins of
// the platform and of all upstreams of a sheet, and entry processes, each on a
// free loopback port. Tests, the demo and the load tool use it.
//
// # Usage
//
//	d := &assembler.Deployment{Config: config, Work: 2 * time.Millisecond}
//	if err := d.Start(); err != nil { ... }
//	defer d.Stop()
//	err := d.AwaitReady(10 * time.Second)
//	response, err := http.Get(d.URL(0) + "/guides/1")
package assembler

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"pimentorelay.example/pimento"
	"pimentorelay.example/pimento/platform"
	"pimentorelay.example/pimento/router"
	"pimentorelay.example/pimento/storefaker"
	"pimentorelay.example/pimento/surveyor"
	"pimentorelay.example/pimento/translator"
	"pimentorelay.example/pimento/upstreamfaker"
)

const (
	// readyPollInterval is how often AwaitReady checks the entry processes.
	readyPollInterval = 10 * time.Millisecond
	// startTimeout limits the start of an entry process.
	startTimeout = 10 * time.Second
)

// loopback asks for any free port on the loopback interface.
var loopback = netip.MustParseAddrPort("127.0.0.1:0")

// Deployment is a set of stand-ins and entry processes. Set the exported fields
// of the first group before Start; the others are set by it.
type Deployment struct {
	Config  pimento.Config // Start replaces the addresses of its upstreams
	Entries int            // number of entry processes; 0: one per failure domain
	Work    time.Duration  // how long a request occupies a slot
	Warm    bool           // upstreams do not start cold
	Bounds  pimento.Bounds // zero: the defaults
	Log     hclog.Logger
	// ExternalEntries means that Start starts no entry processes.
	ExternalEntries bool
	// Source returns the source of the next entry process, which reads through the
	// given one; nil: that one itself.
	Source func(pimento.Source) pimento.Source
	// Proxy returns the address of a proxy for that of an upstream; nil: no proxy.
	Proxy func(netip.AddrPort) (netip.AddrPort, error)

	Store     *storefaker.Server
	Upstreams map[pimento.UpstreamName]*upstreamfaker.Server

	address netip.AddrPort // of the store
	servers []*http.Server
	entries []*Entry
	mu      sync.Mutex
}

// Entry is an entry process, run by goroutines of this one.
type Entry struct {
	Process pimento.Process
	router  *router.Router
	cancel  context.CancelFunc
	done    chan error
}

// Start starts the stand-ins and, unless ExternalEntries is set, the entry
// processes. It does not apply the configuration.
func (d *Deployment) Start() error {
	if d.Log == nil {
		d.Log = hclog.NewNullLogger()
	}
	if d.Entries == 0 {
		d.Entries = len(d.Config.Domains)
	}
	if d.Bounds == (pimento.Bounds{}) {
		d.Bounds = pimento.DefaultBounds()
	}
	d.Store = storefaker.New()
	address, err := d.serve(&http.Server{Handler: d.Store})
	if err != nil {
		return fmt.Errorf("Deployment.Start: %w", err)
	}
	d.address = address
	if err := d.startUpstreams(); err != nil {
		return fmt.Errorf("Deployment.Start: %w", err)
	}
	if d.ExternalEntries {
		return nil
	}
	for i := range d.Entries {
		if _, err := d.StartEntry(d.entryDomain(i)); err != nil {
			return fmt.Errorf("Deployment.Start: %w", err)
		}
	}
	return nil
}

func (d *Deployment) entryDomain(i int) pimento.DomainName {
	return d.Config.Domains[i%len(d.Config.Domains)].Name
}

// serve runs a server on a free port and returns its address.
func (d *Deployment) serve(server *http.Server) (netip.AddrPort, error) {
	l, err := net.Listen("tcp", loopback.String())
	if err != nil {
		return netip.AddrPort{}, err
	}
	d.servers = append(d.servers, server)
	go server.Serve(l)
	return l.Addr().(*net.TCPAddr).AddrPort(), nil
}

func (d *Deployment) startUpstreams() error {
	d.Upstreams = make(map[pimento.UpstreamName]*upstreamfaker.Server)
	for i := range d.Config.Servers {
		s := &d.Config.Servers[i]
		service, _ := d.Config.Service(s.Service)
		upstream := &upstreamfaker.Server{
			Name: s.Name, Slots: s.Slots, Work: d.Work, StartWarm: d.Warm,
			Keyed: service.Sharing == pimento.SharingKeyed,
		}
		upstream.Start()
		address, err := d.serve(upstream.HTTP())
		if err == nil && d.Proxy != nil {
			address, err = d.Proxy(address)
		}
		if err != nil {
			return err
		}
		s.Address = address
		d.Upstreams[s.Name] = upstream
	}
	return nil
}

// StartEntry starts one more entry process and waits until it is registered.
func (d *Deployment) StartEntry(domain pimento.DomainName) (*Entry, error) {
	d.mu.Lock()
	host := pimento.HostName(fmt.Sprintf("entry-%d", len(d.entries)+1))
	d.mu.Unlock()
	started := make(chan pimento.Process, 1)
	store := d.Client()
	var source pimento.Source = &surveyor.Surveyor{Store: store}
	if d.Source != nil {
		source = d.Source(source)
	}
	e := &Entry{done: make(chan error, 1), router: &router.Router{
		Host: host, Domain: domain, Peer: loopback, Caller: loopback, Operator: loopback,
		Store: store, Source: source, Bounds: d.Bounds, RequireKey: true,
		CallerWire: translator.Wire{}, UpstreamWire: translator.Wire{}, Log: d.Log.Named(string(host)),
		OnRegistered: func(p pimento.Process) { started <- p },
	}}
	ctx, cancel := context.WithCancel(context.Background())
	e.cancel = cancel
	go func() { e.done <- e.router.Run(ctx) }()
	select {
	case e.Process = <-started:
	case err := <-e.done:
		return nil, errors.Join(errors.New("entry process ended during its start"), err)
	case <-time.After(startTimeout):
		return nil, errors.New("entry process did not register in time")
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.entries = append(d.entries, e)
	return e, nil
}

// StoreAddress returns the address of the store's stand-in.
func (d *Deployment) StoreAddress() netip.AddrPort { return d.address }

// Client returns a client of the store.
func (d *Deployment) Client() pimento.Store {
	return &platform.Store{Address: d.address, HTTP: platform.NewHTTPClient()}
}

// Entry returns entry process i, counted from 0 in the order of their start.
func (d *Deployment) Entry(i int) *Entry {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.entries[i]
}

// URL returns the base URL of entry process i for callers.
func (d *Deployment) URL(i int) string { return "http://" + d.Entry(i).Process.Caller.String() }

// Status returns the status of the process.
func (e *Entry) Status() pimento.Status { return e.router.Status() }

// Stop shuts the process down gracefully and waits for it.
func (e *Entry) Stop() error {
	e.cancel()
	return <-e.done
}

// Kill ends the process as a crash would, without notifying others.
func (e *Entry) Kill() { e.router.Kill() }

// Apply stores the accepted configuration and returns its version.
func (d *Deployment) Apply(ctx context.Context, config pimento.Config) (uint64, error) {
	value, err := json.Marshal(config)
	if err != nil {
		return 0, fmt.Errorf("Deployment.Apply: %w", err)
	}
	client := d.Client()
	e := pimento.Entry{Kind: surveyor.KindConfig, Name: surveyor.ConfigName, Value: value}
	saved, err := client.Create(ctx, e)
	var exists *pimento.ExistsError
	if errors.As(err, &exists) {
		e.Revision = exists.Current.Revision
		saved, err = client.Replace(ctx, e)
	}
	return saved.Revision.Number, err
}

// AwaitReady waits until the given version or a later one is in force in every
// running entry process, and every key that they know of has a holder.
func (d *Deployment) AwaitReady(version uint64, timeout time.Duration) error {
	deadline := time.Now().Add(timeout)
	for {
		ready, running := 0, d.running()
		for _, e := range running {
			if s := e.Status(); s.Led && s.Ready && s.ManifestVersion >= version && s.Unheld == 0 {
				ready++
			}
		}
		if ready == len(running) {
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("Deployment.AwaitReady: version %d is in force in %d of %d entry processes", version, ready, len(running))
		}
		time.Sleep(readyPollInterval)
	}
}

func (d *Deployment) running() []*Entry {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []*Entry
	for _, e := range d.entries {
		select {
		case err := <-e.done:
			e.done <- err
		default:
			out = append(out, e)
		}
	}
	return out
}

// Stop kills the entry processes and closes the stand-ins.
func (d *Deployment) Stop() {
	for _, e := range d.running() {
		e.Kill()
		e.cancel()
	}
	for _, s := range d.servers {
		s.Close()
	}
}

// Runs counts how often each non-idempotent request took effect.
func (d *Deployment) Runs() map[string]int {
	out := make(map[string]int)
	for _, u := range d.Upstreams {
		for _, r := range u.Journal() {
			if !r.Idempotent {
				out[r.ID]++
			}
		}
	}
	return out
}

// CheckRuns checks that no non-idempotent request ran twice, that each one that
// was answered ran once, and that none refused as not run has run.
func (d *Deployment) CheckRuns(outcomes map[string]pimento.Outcome) error {
	runs := d.Runs()
	var errs []error
	for id, n := range runs {
		if n > 1 {
			errs = append(errs, fmt.Errorf("request %q ran %d times", id, n))
		}
	}
	for id, o := range outcomes {
		if o == pimento.OutcomeAnswered && runs[id] != 1 || o == pimento.OutcomeNotRun && runs[id] != 0 {
			errs = append(errs, fmt.Errorf("request %q ran %d times, but its caller got outcome %s", id, runs[id], o))
		}
	}
	return errors.Join(errs...)
}

// RunsIn counts the requests that upstreams of a failure domain have run.
func (d *Deployment) RunsIn(domain pimento.DomainName) int {
	n := 0
	for _, s := range d.Config.Servers {
		if d.Config.DomainOf(s) == domain {
			n += d.Upstreams[s.Name].Report().Runs
		}
	}
	return n
}

// FellOver counts how often a cold upstream crashed under too many requests.
func (d *Deployment) FellOver() int {
	n := 0
	for _, u := range d.Upstreams {
		n += u.Report().FellOver
	}
	return n
}

// SetDomain changes the state of a failure domain in the configuration, which
// is not applied yet.
func (d *Deployment) SetDomain(name pimento.DomainName, state pimento.State) {
	for i := range d.Config.Domains {
		if d.Config.Domains[i].Name == name {
			d.Config.Domains[i].State = state
		}
	}
}
