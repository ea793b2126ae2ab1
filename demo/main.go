// Command demo runs a whole deployment in one process on free loopback ports and
// sends requests through every entry process. It then loses an upstream and an
// entry process, takes a failure domain out and puts it back, all under load, and
// exits non-zero if a check fails.
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
	fmt.Printf("\nall answers were correct; took %s\n", time.Since(started).Round(time.Millisecond))
}
