package acceptor

import (
	"errors"
	"io"
)

// errNoRoom is the error of a read if there is no memory for what would be read.
var errNoRoom = errors.New("the memory for callers is used up")

// headReader reads from a connection. While it reads the head of a request, it bounds its size
// and charges what it costs as it comes, before it is parsed.
type headReader struct {
	src  io.Reader
	left int64 // bytes that may be read
	// charge is called with the bytes and lines of a head that have come, and reports whether
	// there is room for them; nil: what is read is no head.
	charge  func(bytes, lines int) bool
	scan    headScanner
	refused bool // charge has refused
}

// Read implements io.Reader.
func (r *headReader) Read(p []byte) (int, error) {
	if r.left <= 0 {
		return 0, io.EOF
	}
	if int64(len(p)) > r.left {
		p = p[:r.left]
	}
	n, err := r.src.Read(p)
	r.left -= int64(n)
	if !r.chargeFor(p[:n]) {
		return 0, errNoRoom
	}
	return n, err
}

// begin starts a head of at most limit bytes, of which some may have been read already.
func (r *headReader) begin(limit int64, buffered []byte, charge func(bytes, lines int) bool) bool {
	r.left = max(0, limit-int64(len(buffered)))
	r.scan, r.charge, r.refused = headScanner{}, charge, false
	return r.chargeFor(buffered)
}

// end records that what follows is no head.
func (r *headReader) end() { r.left, r.charge = noLimit, nil }

// chargeFor charges the part of the head in p.
func (r *headReader) chargeFor(p []byte) bool {
	if r.charge == nil || len(p) == 0 {
		return true
	}
	bytes, lines := r.scan.next(p)
	r.refused = !r.charge(bytes, lines)
	return !r.refused
}

// headScanner counts the lines of a head in the parts in which it comes. The zero value is at
// the beginning of a head.
type headScanner struct {
	lineBytes int  // of the present line, without its end
	lines     int  // so far
	ended     bool // the empty line has come
}

// next returns how many bytes and lines of p belong to the head.
func (s *headScanner) next(p []byte) (bytes, lines int) {
	for i, c := range p {
		if s.ended {
			return i, lines
		}
		switch c {
		case '\n':
			s.ended = s.lineBytes == 0 && s.lines > 0
			s.lineBytes = 0
			s.lines++
			lines++
		case '\r':
		default:
			s.lineBytes++
		}
	}
	return len(p), lines
}
