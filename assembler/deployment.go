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
	// readyPause is the time between two looks at whether all is ready.
	readyPause = 10 * time.Millisecond
	// startTimeout bounds the start of an entry process.
	startTimeout = 10 * time.Second
)

// loopback is an address with a free port.
var loopback = netip.MustParseAddrPort("127.0.0.1:0")

// Deployment is everything that runs. Set the exported fields of the first
// group before Start; the others are set by it.
type Deployment struct {
	Config  pimento.Config // its addresses are replaced by free ones
	Entries int            // number of entry processes; 0: one a failure domain
	Work    time.Duration  // how long a request occupies a slot
	Warm    bool           // upstreams do not start cold
	Log     hclog.Logger
	// Outside means that entry processes are started elsewhere.
	Outside bool
	// Front returns what stands before the address of a stand-in, such as a
	// proxy; nil: nothing does.
	Front func(netip.AddrPort) (netip.AddrPort, error)

	Store     *storefaker.Server
	Upstreams map[pimento.UpstreamName]*upstreamfaker.Server

	address netip.AddrPort // of the store
	servers []*http.Server
	entries []*Entry
	mu      sync.Mutex
}

// Entry is one entry process.
type Entry struct {
	Process pimento.Process
	router  *router.Router
	cancel  context.CancelFunc
	done    chan error
}

// Start starts everything. The configuration is not applied yet.
func (d *Deployment) Start() error {
	if d.Log == nil {
		d.Log = hclog.NewNullLogger()
	}
	if d.Entries == 0 {
		d.Entries = len(d.Config.Domains)
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
	if d.Outside {
		return nil
	}
	for i := range d.Entries {
		if _, err := d.StartEntry(d.domain(i)); err != nil {
			return fmt.Errorf("Deployment.Start: %w", err)
		}
	}
	return nil
}

func (d *Deployment) domain(i int) pimento.DomainName {
	return d.Config.Domains[i%len(d.Config.Domains)].Name
}

// serve runs a server on a free port.
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
		faker := &upstreamfaker.Server{
			Name: s.Name, Slots: s.Slots, Work: d.Work, StartWarm: d.Warm,
			Keyed: service.Sharing == pimento.SharingKeyed,
		}
		faker.Start()
		address, err := d.serve(faker.HTTP())
		if err == nil && d.Front != nil {
			address, err = d.Front(address)
		}
		if err != nil {
			return err
		}
		s.Address = address
		d.Upstreams[s.Name] = faker
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
	e := &Entry{done: make(chan error, 1), router: &router.Router{
		Host: host, Domain: domain, Peer: loopback, Caller: loopback, Operator: loopback,
		Store: store, Source: &surveyor.Surveyor{Store: store}, Bounds: pimento.DefaultBounds(), RequireKey: true,
		CallerWire: translator.Wire{}, UpstreamWire: translator.Wire{}, Log: d.Log.Named(string(host)),
		Started: func(p pimento.Process) { started <- p },
	}}
	ctx, cancel := context.WithCancel(context.Background())
	e.cancel = cancel
	go func() { e.done <- e.router.Run(ctx) }()
	select {
	case e.Process = <-started:
	case err := <-e.done:
		return nil, errors.Join(errors.New("entry process ended at its start"), err)
	case <-time.After(startTimeout):
		return nil, errors.New("entry process did not register")
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.entries = append(d.entries, e)
	return e, nil
}

// StoreAddress returns where the store's stand-in listens.
func (d *Deployment) StoreAddress() netip.AddrPort { return d.address }

// Client returns a client of the store.
func (d *Deployment) Client() pimento.Store {
	return &platform.Store{Address: d.address, HTTP: platform.NewHTTP()}
}

// Entry returns the entry process that was started as number i.
func (d *Deployment) Entry(i int) *Entry {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.entries[i]
}

// URL returns where entry process i takes callers' requests.
func (d *Deployment) URL(i int) string { return "http://" + d.Entry(i).Process.Caller.String() }

// Status returns what the process knows.
func (e *Entry) Status() pimento.Status { return e.router.Status() }

// Stop shuts the process down gracefully and waits for it.
func (e *Entry) Stop() error {
	e.cancel()
	return <-e.done
}

// Kill ends the process as a crash would, without a word to anybody.
func (e *Entry) Kill() { e.router.Kill() }

// Apply makes a configuration the accepted one and returns its version.
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
	return saved.Revision, err
}

// AwaitReady waits until the given version is in force in every entry process
// that runs, and every key that they know of has a holder.
func (d *Deployment) AwaitReady(version uint64, timeout time.Duration) error {
	deadline := time.Now().Add(timeout)
	for {
		ready, listed := 0, d.running()
		for _, e := range listed {
			if s := e.Status(); s.Led && s.Ready && s.ManifestVersion >= version && s.Unheld == 0 {
				ready++
			}
		}
		if ready == len(listed) {
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("Deployment.AwaitReady: version %d is in force in %d of %d entry processes", version, ready, len(listed))
		}
		time.Sleep(readyPause)
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

// Stop ends everything at once.
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

// CheckRuns compares what callers were told with what ran: nothing twice, what
// was answered once, what was refused as not run never.
func (d *Deployment) CheckRuns(outcomes map[string]pimento.Outcome) error {
	runs := d.Runs()
	var faults []error
	for id, n := range runs {
		if n > 1 {
			faults = append(faults, fmt.Errorf("request %q ran %d times", id, n))
		}
	}
	for id, o := range outcomes {
		if o == pimento.OutcomeAnswered && runs[id] != 1 || o == pimento.OutcomeNotRun && runs[id] != 0 {
			faults = append(faults, fmt.Errorf("request %q ran %d times, its caller was told %s", id, runs[id], o))
		}
	}
	return errors.Join(faults...)
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

// FellOver counts how often a cold upstream got more than it bears.
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
