// Command demo runs a whole deployment in one process on free loopback ports
// and shows what it does: requests through every entry process, the loss of
// an entry process and of an upstream, a failure domain that leaves and
// returns. It exits non-zero if one answer was wrong.
//
// # Usage
//
//	go run ./demo
package main

import (
	"fmt"
	"os"
	"time"
)

func main() {
	started := time.Now()
	d := &demo{started: started}
	if err := d.run(); err != nil {
		fmt.Fprintln(os.Stderr, "demo failed:", err)
		os.Exit(1)
	}
	fmt.Printf("\nall answers were right; %s in all\n", time.Since(started).Round(time.Millisecond))
}
