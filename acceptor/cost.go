package acceptor

import "pimentorelay.example/pimento"

// What a caller costs here, in bytes of memory. These are upper estimates: they include
// what is allocated while a message is parsed and passed on.
const (
	// connCost is that of a connection: its buffers and goroutines.
	connCost = 24 << 10
	// requestCost is that of a request without its head and body.
	requestCost = 8 << 10
	// lineCost is that of a header line: its entries in the parsed header and in the copy for
	// the upstream.
	lineCost = 256
	// byteCost is that of each byte of a header, which is read, parsed and copied.
	byteCost = 4
	// bodyCost is that of each byte of a body that is held: it is kept for a retry as well.
	bodyCost = 2
	// minLineBytes is the size of the shortest header line.
	minLineBytes = 3
)

// headCost returns the cost of a part of a head.
func headCost(bytes, lines int) int64 { return int64(bytes)*byteCost + int64(lines)*lineCost }

// LargestRequestCost returns the cost of the largest request that the limits allow: its head in
// the shortest lines, and what is held of its body and of its answer.
func LargestRequestCost(l pimento.Limits) int64 {
	return connCost + requestCost + headCost(int(l.HeaderBytes), int(l.HeaderBytes)/minLineBytes) + bodyCost*(bodyPrefixSize+maxReadAhead) + bodyPrefixSize
}
