// Package router is one process of pimentorelay on the platform.
//
// # Usage
//
//	r := &router.Router{Settings: s, Log: logger}
//	err := r.Run(ctx)
package router

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"pimentorelay.example/pimento"
	"pimentorelay.example/pimento/acceptor"
	"pimentorelay.example/pimento/connector"
	"pimentorelay.example/pimento/forwarder"
	"pimentorelay.example/pimento/platform"
)

// Router is one process. Set the exported fields before Run.
type Router struct {
	Settings platform.Settings
	Log      hclog.Logger

	store   *platform.Store
	view    atomic.Pointer[forwarder.View]
	table   atomic.Pointer[table]
	mu      sync.Mutex
	clients map[pimento.UpstreamName]*connector.Client
	running map[pimento.UpstreamName]int
}

type row struct {
	Range KeyRange
	Owner pimento.UpstreamName
	Fence uint64
}

// KeyRange aliases the domain's type.
type KeyRange = pimento.KeyRange

type table struct {
	Rows map[pimento.ServiceName][]row
}

// Run serves until ctx ends.
func (r *Router) Run(ctx context.Context) error {
	r.store = &platform.Store{Address: r.Settings.Store, HTTP: platform.NewHTTP()}
	r.clients = make(map[pimento.UpstreamName]*connector.Client)
	r.running = make(map[pimento.UpstreamName]int)
	l, err := net.Listen("tcp", r.Settings.Caller.String())
	if err != nil {
		return err
	}
	ready, err := net.Listen("tcp", r.Settings.Ready.String())
	if err != nil {
		return err
	}
	go http.Serve(ready, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if r.view.Load() == nil {
			w.WriteHeader(503)
		}
	}))
	go r.followManifest(ctx)
	go r.followServers(ctx)
	go r.lead(ctx)
	f := &forwarder.Forwarder{View: r.view.Load, Dispatch: r}
	a := &acceptor.Acceptor{Handler: f, Wire: platform.Wire{}, Limits: func() pimento.Limits {
		if v := r.view.Load(); v != nil {
			return v.Manifest.Limits
		}
		m := pimento.Manifest{}
		m.Defaults()
		return m.Limits
	}}
	return a.Serve(ctx, l)
}

func (r *Router) followManifest(ctx context.Context) {
	for ctx.Err() == nil {
		e, err := r.store.Get(ctx, platform.KindManifest, platform.ManifestName)
		if err == nil {
			m, err := platform.DecodeManifest(e.Value)
			if err == nil {
				r.view.Store(&forwarder.View{Manifest: &m, Routes: pimento.NewRouteTable(m.Routes)})
				if _, err := r.store.Watch(ctx, platform.KindManifest, e.Revision, 25*time.Second); err == nil {
					continue
				}
			} else {
				r.Log.Error("manifest", "err", err)
			}
		}
		time.Sleep(300 * time.Millisecond)
	}
}

func (r *Router) followServers(ctx context.Context) {
	for ctx.Err() == nil {
		list, err := r.store.List(ctx, platform.KindServers, pimento.FreshnessLatest)
		if err == nil {
			now := time.Now()
			next := make(map[pimento.UpstreamName]pimento.Server)
			for _, e := range list.Entries {
				s, err := platform.DecodeServer(e, now)
				if err != nil {
					r.Log.Warn("server", "err", err)
					continue
				}
				if s.State == pimento.StateArriving {
					next[s.Name] = s
				}
			}
			r.mu.Lock()
			for name, s := range next {
				if _, ok := r.clients[name]; !ok {
					r.clients[name] = &connector.Client{Server: s, Wire: platform.Wire{}}
				}
			}
			for name := range r.clients {
				if _, ok := next[name]; !ok {
					delete(r.clients, name)
				}
			}
			r.mu.Unlock()
		} else {
			r.Log.Warn("list", "err", err)
		}
		time.Sleep(500 * time.Millisecond)
	}
}

// lead lets the process that made the table renew the grants.
func (r *Router) lead(ctx context.Context) {
	mine := false
	for ctx.Err() == nil {
		time.Sleep(300 * time.Millisecond)
		if r.table.Load() == nil {
			e, err := r.store.Get(ctx, "relay-table", "main")
			var missing *pimento.NotFoundError
			if errors.As(err, &missing) {
				mine = r.create(ctx) || mine
				continue
			}
			if err != nil {
				continue
			}
			var t table
			if err := json.Unmarshal(e.Value, &t); err == nil {
				r.table.Store(&t)
			}
			continue
		}
		if mine {
			r.renew(ctx)
			time.Sleep(700 * time.Millisecond)
		}
	}
}

func (r *Router) create(ctx context.Context) bool {
	v := r.view.Load()
	if v == nil {
		return false
	}
	t := table{Rows: make(map[pimento.ServiceName][]row)}
	r.mu.Lock()
	for _, s := range v.Manifest.Services {
		if s.Sharing != pimento.SharingKeyed {
			continue
		}
		var names []pimento.UpstreamName
		for name, c := range r.clients {
			if c.Server.Service == s.Name {
				names = append(names, name)
			}
		}
		for i, name := range names {
			from, to := i*65536/len(names), (i+1)*65536/len(names)-1
			t.Rows[s.Name] = append(t.Rows[s.Name], row{Range: KeyRange{From: pimento.Key(from), To: pimento.Key(to)}, Owner: name, Fence: 1})
		}
	}
	r.mu.Unlock()
	if len(t.Rows) == 0 {
		return false
	}
	for _, rows := range t.Rows {
		if len(rows) < 5 {
			return false
		}
	}
	text, err := json.Marshal(t)
	if err != nil {
		return false
	}
	if _, err := r.store.Create(ctx, pimento.Entry{Kind: "relay-table", Name: "main", Value: text}); err != nil {
		r.Log.Warn("create", "err", err)
		return false
	}
	return true
}

func (r *Router) renew(ctx context.Context) {
	for _, rows := range r.table.Load().Rows {
		for _, x := range rows {
			r.mu.Lock()
			c := r.clients[x.Owner]
			r.mu.Unlock()
			if c == nil {
				continue
			}
			if err := c.Grant(ctx, pimento.KeyGrant{Range: x.Range, Fence: x.Fence, Hold: 4 * time.Second}); err != nil {
				r.Log.Warn("grant", "err", err)
			}
		}
	}
}

type permit struct {
	r    *Router
	c    *connector.Client
	name pimento.UpstreamName
}

// Acquire implements forwarder.Dispatcher.
func (r *Router) Acquire(_ context.Context, q *pimento.Request, _ forwarder.Try) (forwarder.Permit, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var best pimento.UpstreamName
	if t := r.table.Load(); t != nil && len(t.Rows[q.Service]) > 0 {
		for _, x := range t.Rows[q.Service] {
			if x.Range.Contains(q.Key) {
				best = x.Owner
			}
		}
	} else {
		for name, c := range r.clients {
			if c.Server.Service == q.Service && (best == "" || r.running[name] < r.running[best]) {
				best = name
			}
		}
	}
	c := r.clients[best]
	if c == nil {
		return nil, pimento.NotRun(pimento.ReasonNoOwner, "no upstream")
	}
	r.running[best]++
	return &permit{r: r, c: c, name: best}, nil
}

func (p *permit) Upstream() pimento.UpstreamName { return p.name }

func (p *permit) Serve(ctx context.Context, q *pimento.Request, body io.Reader) (pimento.Answer, pimento.AnswerMark, error) {
	return p.c.Serve(ctx, q, body)
}

func (p *permit) Done(error) {
	p.r.mu.Lock()
	defer p.r.mu.Unlock()
	p.r.running[p.name]--
}
