package main

import (
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// gate is the store as one process reaches it.
type gate struct {
	address string
	server  *http.Server
	silent  atomic.Bool // the store accepts calls and answers none
}

// newGate opens the store for a process.
func (f *fleet) newGate() (*gate, error) {
	l, err := net.Listen("tcp", f.network+".1:0")
	if err != nil {
		return nil, err
	}
	g := &gate{address: l.Addr().String()}
	g.server = &http.Server{ReadHeaderTimeout: 5 * time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if g.silent.Load() {
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
		f.store.ServeHTTP(w, r)
	})}
	go g.server.Serve(l)
	return g, nil
}
