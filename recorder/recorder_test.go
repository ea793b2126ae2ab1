package recorder

import (
	"bytes"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"pimentorelay.example/pimento"
)

// TestVolumeIsBounded guards against a log that grows with the load: answered
// requests must not use up the limit of failures, and drops must be reported.
func TestVolumeIsBounded(t *testing.T) {
	is := is.New(t)
	var text bytes.Buffer
	dropped := make(map[pimento.EventNumber]int)
	r := &Recorder{
		Process: "p", Log: hclog.New(&hclog.LoggerOptions{JSONFormat: true, Output: &text}),
		OnDropped: func(n pimento.EventNumber) { dropped[n]++ },
	}
	const requests = 20000
	for range requests {
		r.LogOnly(pimento.EventRequestAnswered, "Request", "x")
	}
	r.LogOnly(pimento.EventRequestNotRun, "Request", "refused-1")
	lines := strings.Count(text.String(), "\n")
	is.True(lines <= int(answeredLimit.burst)+2*int(answeredLimit.perSecond)+1) // the loop took less than two seconds
	is.True(strings.Contains(text.String(), "refused-1"))
	is.Equal(dropped[pimento.EventRequestAnswered]+lines-1, requests)
	is.Equal(dropped[pimento.EventRequestNotRun], 0)

	at := time.Unix(0, 0)
	b := bucket{limit: answeredLimit, refilledAt: at}
	ok, _ := b.allow(at)
	is.True(!ok)
	ok, n := b.allow(at.Add(time.Second))
	is.True(ok)
	is.Equal(n, uint64(1)) // reported as dropped
	b.allow(at.Add(time.Second + time.Millisecond))
	for range int(answeredLimit.perSecond) {
		b.allow(at.Add(time.Second + 2*time.Millisecond))
	}
	_, n = b.allow(at.Add(1500 * time.Millisecond))
	is.Equal(n, uint64(0)) // once a second at most
	_, n = b.allow(at.Add(2100 * time.Millisecond))
	is.True(n > 0)
}

// blockedWriter blocks writes until release is closed, like a pipe that nobody reads.
type blockedWriter struct{ release chan struct{} }

func (s blockedWriter) Write(p []byte) (int, error) {
	<-s.release
	return len(p), nil
}

// TestWriteNeverBlocks guards against a process that stalls because nobody reads
// its log.
func TestWriteNeverBlocks(t *testing.T) {
	is := is.New(t)
	s := blockedWriter{release: make(chan struct{})}
	w := &Writer{To: s}
	w.Start()
	line := []byte("line\n")
	done := make(chan struct{})
	go func() {
		for range 3 * queueLines {
			w.Write(line)
		}
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Fatal("Write blocked while the log's reader was stalled")
	}
	is.True(w.Dropped() >= queueLines)
	is.True(w.Close() != nil) // Close does not block either
	close(s.release)
}

// lockedBuffer is a buffer that is safe for concurrent writes.
type lockedBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (s *lockedBuffer) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.buf.Write(p)
}

// TestCloseFlushesQueuedLines guards against losing the last lines of a process.
func TestCloseFlushesQueuedLines(t *testing.T) {
	is := is.New(t)
	out := &lockedBuffer{}
	w := &Writer{To: out}
	w.Start()
	for range 100 {
		io.WriteString(w, "line\n")
	}
	is.NoErr(w.Close())
	is.Equal(strings.Count(out.buf.String(), "\n"), 100)
}

// TestStampsFollowCausality checks that an event after a received message has the
// higher stamp, even if the receiver's clock is behind.
func TestStampsFollowCausality(t *testing.T) {
	is := is.New(t)
	var a, b Recorder
	ahead := a.Stamp()
	ahead.Wall = ahead.Wall.Add(time.Hour)
	b.Observe(ahead)
	is.True(ahead.Before(b.Stamp()))
}
