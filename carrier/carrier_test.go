package carrier

import (
	"context"
	"errors"
	"io"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"pimentorelay.example/pimento"
)

// book is a directory of processes.
type book struct {
	mu   sync.Mutex
	list map[pimento.ProcessID]pimento.Process
}

func newBook() *book { return &book{list: make(map[pimento.ProcessID]pimento.Process)} }

func (b *book) Process(_ context.Context, id pimento.ProcessID) (pimento.Process, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	p, ok := b.list[id]
	if !ok {
		return p, &pimento.NotFoundError{Object: string(id)}
	}
	return p, nil
}

func (b *book) set(p pimento.Process) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.list[p.ID] = p
}

func (b *book) get(id pimento.ProcessID) pimento.Process {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.list[id]
}

// forge gives a process another certificate.
func (b *book) forge(id pimento.ProcessID) {
	p := b.get(id)
	p.CertHash = make([]byte, len(p.CertHash))
	b.set(p)
}

func (b *book) remove(id pimento.ProcessID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.list, id)
}

// echo answers requests with their own body.
type echo struct{ refuse bool }

func (echo) Confirm(_ context.Context, ask pimento.ConfirmAsk) (pimento.ConfirmAnswer, error) {
	return pimento.ConfirmAnswer{From: "server", Epoch: ask.Epoch, Confirmed: true}, nil
}

func (echo) Handover(context.Context, pimento.HandoverAsk) (pimento.HandoverAnswer, error) {
	return pimento.HandoverAnswer{From: "server"}, nil
}

func (echo) CurrentPlan() *pimento.Plan { return &pimento.Plan{Epoch: 3} }

func (echo) Record(context.Context, pimento.Record) error { return nil }

func (e echo) Serve(_ context.Context, _ pimento.ProcessID, head pimento.RequestHead, _ pimento.Witnessing, body pimento.Body) (pimento.Answer, error) {
	if e.refuse {
		return pimento.Answer{}, pimento.NotRun(pimento.ReasonQueueFull, "full")
	}
	data, err := io.ReadAll(body.Reader())
	if err != nil {
		return pimento.Answer{}, pimento.Unknown(pimento.ReasonBodyCut, err.Error())
	}
	return pimento.Answer{Head: pimento.AnswerHead{ID: head.ID, Status: 200}, Body: io.NopCloser(strings.NewReader(string(data)))}, nil
}

// run starts a carrier and registers it.
func run(t *testing.T, id pimento.ProcessID, directory *book, h Handler) *Carrier {
	t.Helper()
	identity, err := NewIdentity(id)
	if err != nil {
		t.Fatal(err)
	}
	c := &Carrier{Identity: identity, Address: netip.MustParseAddrPort("127.0.0.1:0"), Directory: directory, Handler: h}
	address, err := c.Open()
	if err != nil {
		t.Fatal(err)
	}
	directory.set(pimento.Process{ID: id, Peer: address, CertHash: identity.CertHash})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go c.Run(ctx)
	return c
}

func TestBodies(t *testing.T) {
	cases := []struct {
		name string
		body pimento.Body
		size int64
	}{
		{"none", pimento.Body{}, 0},
		{"short", pimento.Body{Inline: []byte("crate")}, 5},
		{"long", pimento.Body{Stream: strings.NewReader(strings.Repeat("x", 3<<20))}, 3 << 20},
		{"of unknown length", pimento.Body{Stream: strings.NewReader(strings.Repeat("y", 1<<20))}, -1},
	}
	directory := newBook()
	run(t, "server", directory, echo{})
	client := run(t, "client", directory, echo{})
	for range 2 { // the second time over streams from the pool
		for _, c := range cases {
			t.Run(c.name, func(t *testing.T) {
				is := is.New(t)
				head := pimento.RequestHead{ID: c.name, Method: "POST", BodyLength: c.size, Deadline: time.Now().Add(time.Minute)}
				if s, ok := c.body.Stream.(*strings.Reader); ok {
					s.Seek(0, io.SeekStart)
				}
				answer, err := client.Serve(t.Context(), directory.get("server"), head, pimento.WitnessNone, c.body)
				is.NoErr(err)
				data, err := io.ReadAll(answer.Body)
				is.NoErr(err)
				is.NoErr(answer.Body.Close())
				is.Equal(answer.Head.ID, c.name)
				is.True(c.size < 0 || int64(len(data)) == c.size)
			})
		}
	}
}

func TestRefusalArrivesBeforeTheBodyIsRead(t *testing.T) {
	is := is.New(t)
	directory := newBook()
	run(t, "server", directory, echo{refuse: true})
	client := run(t, "client", directory, echo{})
	body := strings.NewReader(strings.Repeat("x", 1<<20))
	head := pimento.RequestHead{ID: "film", Method: "POST", BodyLength: 1 << 20, Deadline: time.Now().Add(time.Minute)}
	_, err := client.Serve(t.Context(), directory.get("server"), head, pimento.WitnessNone, pimento.Body{Stream: body})
	var out *pimento.OutcomeError
	is.True(errors.As(err, &out))
	is.Equal(out.Outcome, pimento.OutcomeNotRun)
	is.Equal(body.Len(), 1<<20) // it can be sent elsewhere
}

// TestStrangers sees that only registered processes with their own certificate
// are heard, and only in their own name.
func TestStrangers(t *testing.T) {
	cases := []struct {
		name   string
		forge  func(directory *book)
		sender pimento.ProcessID
	}{
		{"an unregistered process", func(d *book) { d.remove("client") }, "client"},
		{"another certificate", func(d *book) { d.forge("client") }, "client"},
		{"another certificate of the server", func(d *book) { d.forge("server") }, "client"},
		{"a message in another's name", func(*book) {}, "somebody"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			directory := newBook()
			run(t, "server", directory, echo{})
			client := run(t, "client", directory, echo{})
			c.forge(directory)
			_, err := client.Confirm(t.Context(), directory.get("server"), pimento.ConfirmAsk{From: c.sender, Epoch: 1})
			is.True(err != nil)
		})
	}
}

func FuzzMessage(f *testing.F) {
	f.Add([]byte{0, 0, 0, 1, 0xa0})
	f.Fuzz(func(t *testing.T, frame []byte) {
		if m, err := readMessage(strings.NewReader(string(frame))); err == nil && m == nil {
			t.Error("no message and no error")
		}
	})
}
