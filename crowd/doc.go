// Package crowd tests an entry process against callers that nobody controls: they send
// requests of legal size that cost much memory, send many ahead and read no answers, or open
// connections and leave them. The tests start the real process, with low limits, beside
// stand-ins on loopback addresses, and check only what does not depend on the speed of the
// machine: that the process lives, that its memory and descriptors stay within its settings,
// and that an ordinary request is answered.
//
// # Usage
//
//	go test -tags crowd -count 1 ./crowd
//
// Each test measures a whole process, so they run one after the other, apart from others.
package crowd
