package acceptor

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httputil"
	"strconv"
	"time"

	"pimentorelay.example/pimento"
)

// writeAnswers sends the answers in order until the connection ends.
func (c *conn) writeAnswers() {
	defer close(c.writerDone)
	broken := false
	for x := range c.queue {
		if x.turn != nil {
			close(x.turn)
		}
		if x.ready != nil {
			<-x.ready
		}
		if !broken && !c.sendAnswer(x) {
			broken = true
			c.cancel()
		}
		x.release()
		c.acceptor.active.Add(-1)
		c.mu.Lock()
		c.pending--
		c.idleSince = time.Now()
		c.mu.Unlock()
	}
}

// release closes the answer's body and cancels the request's context.
func (x *exchange) release() {
	if x.answer.Body != nil {
		x.answer.Body.Close()
	}
	if x.cancel != nil {
		x.cancel()
	}
	x.conn.account.Release(x.cost)
	x.answer, x.prefix = pimento.Answer{}, nil
}

// sendAnswer writes the answer or refusal of an exchange, and reports whether
// another may follow.
func (c *conn) sendAnswer(x *exchange) bool {
	if c.ctx.Err() != nil {
		c.reportTruncated(x, context.Cause(c.ctx))
		return false
	}
	last := c.beginAnswer(x)
	head := x.answer.Head
	body := io.Reader(x.answer.Body)
	if x.outcome != nil {
		head, body = c.refusalHead(x), nil
	} else {
		c.acceptor.Wire.WriteAnswer(head.Header, x.request)
	}
	if err := c.writeAnswer(x, head, body, last); err != nil {
		c.raw.Close()
		c.reportTruncated(x, err)
		return false
	}
	if last {
		c.closeWrite()
	}
	return !last
}

// reportTruncated reports an upstream's answer that did not reach its caller in
// full.
func (c *conn) reportTruncated(x *exchange, err error) {
	if x.outcome == nil && c.acceptor.OnTruncated != nil {
		c.acceptor.OnTruncated(x.request, err)
	}
}

// refusalHead returns the head of the answer to a request that got none from an
// upstream.
func (c *conn) refusalHead(x *exchange) pimento.AnswerHead {
	h := make(http.Header)
	status := c.acceptor.Wire.WriteRefusal(h, x.request, x.outcome)
	return pimento.AnswerHead{Status: status, Header: h}
}

// writeAnswer writes the head and body of an answer.
func (c *conn) writeAnswer(x *exchange, head pimento.AnswerHead, body io.Reader, last bool) error {
	if err := c.raw.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	if _, err := fmt.Fprintf(c.w, "HTTP/1.1 %d %s\r\n", head.Status, http.StatusText(head.Status)); err != nil {
		return err
	}
	noBody := x.method == http.MethodHead || head.Status == http.StatusNoContent || head.Status == http.StatusNotModified
	h := head.Header
	if last {
		h.Set("Connection", "close")
	}
	switch {
	case noBody:
	case head.BodyLength >= 0:
		h.Set("Content-Length", strconv.FormatInt(head.BodyLength, 10))
	default:
		h.Del("Content-Length")
		h.Set("Transfer-Encoding", "chunked")
	}
	if err := h.Write(c.w); err != nil {
		return err
	}
	if _, err := c.w.WriteString("\r\n"); err != nil {
		return err
	}
	if body != nil && !noBody {
		if err := c.copyBody(head.BodyLength, body); err != nil {
			return err
		}
	}
	return c.w.Flush()
}

// copyBody writes a body of the given length, or in chunks if length is negative.
func (c *conn) copyBody(length int64, body io.Reader) error {
	if length >= 0 {
		_, err := io.CopyN(c.w, body, length)
		return err
	}
	chunks := httputil.NewChunkedWriter(c.w)
	if _, err := io.Copy(chunks, body); err != nil {
		return err
	}
	if err := chunks.Close(); err != nil {
		return err
	}
	_, err := c.w.WriteString("\r\n")
	return err
}
