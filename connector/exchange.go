package connector

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httputil"
	"strconv"
	"time"

	"pimentorelay.example/pimento"
	"pimentorelay.example/pimento/timekeeper"
)

// exchange is one request with its answer on a connection.
type exchange struct {
	client     *Client
	conn       *conn
	request    *pimento.Request
	writtenAt  time.Time // when it was about to be written, by timekeeper
	stop       func() bool
	bodyResult chan error // result of sending a body in the background; nil: not used
	untilEnd   bool       // the answer has no length: it ends with its connection
	done       bool
}

// roundTrip writes the request and reads the head of its answer.
func (e *exchange) roundTrip(ctx context.Context, body io.Reader) (pimento.Answer, pimento.AnswerMetadata, error) {
	body, err := e.readShortBody(body)
	if err != nil {
		return pimento.Answer{}, pimento.AnswerMetadata{}, pimento.NotRun(pimento.ReasonBodyCut, err.Error())
	}
	if err := e.client.checkSend(ctx, e.request); err != nil {
		return pimento.Answer{}, pimento.AnswerMetadata{}, err
	}
	e.writtenAt = timekeeper.Now()
	if err := e.writeRequest(body); err != nil {
		return pimento.Answer{}, pimento.AnswerMetadata{}, pimento.Unknown(pimento.ReasonUpstreamLost, err.Error())
	}
	res, metadata, err := e.readAnswer()
	if err != nil {
		return pimento.Answer{}, pimento.AnswerMetadata{}, pimento.Unknown(pimento.ReasonUpstreamLost, err.Error())
	}
	if metadata.NotRun && e.isRefusal(res.StatusCode, metadata) {
		e.conn.noteRefused(time.Now(), e.request)
		e.discardBody(res)
		reason := pimento.ReasonRefused
		if metadata.Misdirected {
			reason = pimento.ReasonMisdirected
		}
		return pimento.Answer{}, metadata, pimento.NotRun(reason, res.Status)
	}
	if metadata.ID != e.request.ID {
		return pimento.Answer{}, metadata, pimento.Unknown(pimento.ReasonWrongAnswer, fmt.Sprintf("the answer carries ID %q", metadata.ID))
	}
	e.updateIdleTimeout(res, metadata)
	head := pimento.AnswerHead{ID: metadata.ID, Status: res.StatusCode, Header: res.Header, BodyLength: res.ContentLength}
	pimento.StripHopByHop(head.Header)
	return pimento.Answer{Head: head, Body: &answerBody{ReadCloser: res.Body, exchange: e}}, metadata, nil
}

// isRefusal reports whether a refusal is certainly of this request. One without an ID may
// be a second one of an earlier call on the connection. A success shows that the request has
// run, whatever else it says.
func (e *exchange) isRefusal(status int, m pimento.AnswerMetadata) bool {
	return status/100 != 2 && (m.ID == e.request.ID || m.ID == "" && !e.conn.used)
}

// writeRequest sends the head and a short body. A longer body, or one of unknown
// length, is sent in the background.
func (e *exchange) writeRequest(body io.Reader) error {
	if err := e.writeHead(); err != nil {
		return err
	}
	if e.request.BodyLength == 0 {
		return e.conn.w.Flush()
	}
	if e.request.BodyLength > 0 && e.request.BodyLength <= bufferSize {
		return e.writeBody(body)
	}
	e.bodyResult = make(chan error, 1)
	go func() {
		source := &bodySource{Reader: body}
		err := e.writeBody(source)
		if source.err != nil || err == io.EOF {
			e.conn.Close() // the answer would never come
		}
		e.bodyResult <- err
	}()
	return nil
}

// bodySource is the body of a request with the error of its last read, unless that was
// its end. The answer may have come before a write to its upstream fails.
type bodySource struct {
	io.Reader
	err error
}

// Read implements io.Reader.
func (s *bodySource) Read(p []byte) (int, error) {
	n, err := s.Reader.Read(p)
	if err != io.EOF {
		s.err = err
	}
	return n, err
}

// writeHead writes the head as the caller sent it: the path is not cleaned, and
// only the headers of the wire protocol and of the body's framing are added.
func (e *exchange) writeHead() error {
	r := e.request
	header := r.Header.Clone()
	if header == nil {
		header = make(http.Header)
	}
	e.client.Wire.WriteRequest(header, r, &e.client.Server, time.Until(r.Deadline))
	if r.BodyLength < 0 {
		header.Set("Transfer-Encoding", "chunked")
	} else if r.BodyLength > 0 || r.Header.Get("Content-Length") != "" {
		header.Set("Content-Length", strconv.FormatInt(r.BodyLength, 10))
	}
	if _, err := fmt.Fprintf(e.conn.w, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, r.Path, r.Host); err != nil {
		return err
	}
	if err := header.Write(e.conn.w); err != nil {
		return err
	}
	_, err := e.conn.w.WriteString("\r\n")
	return err
}

// writeBody writes the body with its length or in chunks. A body longer than
// bufferSize is streamed.
func (e *exchange) writeBody(body io.Reader) error {
	if n := e.request.BodyLength; n >= 0 && n <= bufferSize {
		if _, err := io.CopyN(e.conn.w, body, n); err != nil {
			return err
		}
		return e.conn.w.Flush()
	}
	if err := e.conn.w.Flush(); err != nil {
		return err
	}
	if e.request.BodyLength >= 0 {
		_, err := io.CopyN(e.conn.Conn, body, e.request.BodyLength)
		return err
	}
	chunks := httputil.NewChunkedWriter(e.conn.Conn)
	if _, err := io.Copy(chunks, body); err != nil {
		return err
	}
	if err := chunks.Close(); err != nil {
		return err
	}
	_, err := io.WriteString(e.conn.Conn, "\r\n")
	return err
}

// readAnswer reads the answer to the request. On a reused connection it discards
// answers with another ID, which belong to earlier requests.
func (e *exchange) readAnswer() (*http.Response, pimento.AnswerMetadata, error) {
	for range maxAnswersRead {
		res, err := e.conn.readHead(&http.Request{Method: e.request.Method})
		if err != nil {
			return nil, pimento.AnswerMetadata{}, err
		}
		if res.StatusCode/100 == 1 {
			continue
		}
		metadata := e.client.Wire.ReadAnswer(res.StatusCode, res.Header)
		e.client.observeAnswer(e.writtenAt, metadata)
		stale := metadata.ID != "" && metadata.ID != e.request.ID && e.conn.used
		if !stale {
			return res, metadata, nil
		}
		complete, err := discard(res.Body)
		if err != nil {
			return nil, pimento.AnswerMetadata{}, err
		}
		if !complete {
			break
		}
	}
	return nil, pimento.AnswerMetadata{}, errStaleAnswers
}

// errStaleAnswers is the cause if none of the answers read is to the request.
var errStaleAnswers = errors.New("answers to other requests came instead")

// discardBody reads the body of a refusal and ends the exchange, so that the
// connection can be reused if the body is short.
func (e *exchange) discardBody(res *http.Response) {
	complete, err := discard(res.Body)
	e.updateIdleTimeout(res, pimento.AnswerMetadata{})
	e.finish(complete && err == nil && !res.Close)
}

// updateIdleTimeout sets how long the connection may stay idle after this
// answer; zero: it cannot be reused.
func (e *exchange) updateIdleTimeout(res *http.Response, metadata pimento.AnswerMetadata) {
	e.conn.used = true
	if metadata.IdleTimeout > 0 {
		e.conn.idleTimeout = time.Duration(float64(metadata.IdleTimeout) * idleTimeoutFraction)
	}
	e.untilEnd = res.ContentLength < 0 && len(res.TransferEncoding) == 0
	if res.Close || e.untilEnd {
		e.conn.idleTimeout = 0
	}
}

// finish returns the connection to the pool if the exchange is complete, and
// closes it otherwise.
func (e *exchange) finish(complete bool) {
	if e.done {
		return
	}
	e.done = true
	if e.stop() && complete && e.bodySent() && e.conn.idleTimeout > 0 {
		e.client.putIdleConn(e.conn)
		return
	}
	e.conn.Close()
}

// bodySent reports whether the body was sent in full. After an early answer, the
// rest of the body would be read as the next request.
func (e *exchange) bodySent() bool {
	if e.bodyResult == nil {
		return true
	}
	select {
	case err := <-e.bodyResult:
		return err == nil
	default:
		return false
	}
}

// checkEnd returns io.EOF if the end of the connection is that of the answer. If the body of the
// request is still being written, the connection may have been reset, which only that write
// is told; so an answer without a length is whole only if the upstream has taken the body.
func (e *exchange) checkEnd() error {
	if !e.untilEnd || e.bodyResult == nil {
		return io.EOF
	}
	timer := time.NewTimer(bodyEndTimeout)
	defer timer.Stop()
	select {
	case err := <-e.bodyResult:
		if err == nil {
			return io.EOF
		}
		return fmt.Errorf("the connection ended while the body was sent: %w", err)
	case <-timer.C:
		return errBodyUnsent
	}
}

// bodyEndTimeout is how long the body of a request may still take after the connection has
// ended: its next write fails, but its caller may send it slowly.
const bodyEndTimeout = 250 * time.Millisecond

// errBodyUnsent is the cause if the connection ended before the body was sent.
var errBodyUnsent = errors.New("the connection ended before the body was sent")

// answerBody is the body of an answer. At its end the connection returns to the
// pool.
type answerBody struct {
	io.ReadCloser
	exchange *exchange
}

// Read implements io.Reader.
func (b *answerBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		err = b.exchange.checkEnd()
	}
	if err == io.EOF {
		b.exchange.finish(true)
	} else if err != nil {
		b.exchange.finish(false)
	}
	return n, err
}

// Close implements io.Closer.
func (b *answerBody) Close() error {
	b.exchange.finish(false)
	return nil
}
