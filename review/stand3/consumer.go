package main

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"
	"time"
)

// answer is what a consumer got for one attempt.
type answer struct {
	id     string
	status int // zero: none
	proof  string
	body   string
	err    error
}

// consumer keeps a connection to one process.
type consumer struct {
	fleet  *fleet
	to     *process
	client *http.Client
}

func (f *fleet) newConsumer(p *process) *consumer {
	return &consumer{fleet: f, to: p, client: &http.Client{Timeout: 6 * time.Second, Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 8}}}
}

// send sends one attempt and waits for its answer.
func (c *consumer) send(ctx context.Context, method, service, path string, body []byte) answer {
	a := answer{id: newID()}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.to.front+"/"+service+"/"+path, bytes.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	req.Host = service + ".example"
	req.Header.Set("Pimentorelay-Attempt-Id", a.id)
	req.Header.Set("Pimentorelay-Deadline-Ms", "5000")
	if c.fleet.keyed {
		req.Header.Set("Pimentorelay-Shard-Key", path)
	}
	res, err := c.client.Do(req)
	if err != nil {
		a.err = err
		c.fleet.note("request %s to %s (%s /%s/%s): no answer: %v", a.id, c.to.name, method, service, path, err)
		return a
	}
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	a.status, a.proof, a.body, a.err = res.StatusCode, res.Header.Get("Pimentorelay-Response-Signature"), strings.TrimSpace(string(data)), err
	c.fleet.note("request %s to %s (%s /%s/%s): answered %d, proof %q: %s", a.id, c.to.name, method, service, path, a.status, a.proof, a.body)
	return a
}
