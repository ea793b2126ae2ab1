// Command stand3 plays the scripted cases of the third review. It starts the relay's
// processes with the command of the deploy file, against a stand-in of the platform's
// store, instances and consumers of its own, all on loopback addresses, and writes what
// was sent, answered and run to a record.
//
// # Usage
//
//	stand3 --case NAME --relay target/relay --record record.txt
//
// With TROUBLE=0 in the environment, it plays the same without the disturbance. It exits
// with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitUnable = 2
	// limit bounds a whole run.
	limit = 110 * time.Second
)

// play is one case. It returns whether the rule was broken.
type play func(ctx context.Context, f *fleet, trouble bool) (broken bool, err error)

var plays = map[string]play{
	"foreign-entry": playForeignEntry,
	"own-failure":   playOwnFailure,
	"shorter-drain": playShorterDrain,
	"older-copy":    playCopy,
}

func main() {
	name := flag.String("case", "", "the case to play")
	relay := flag.String("relay", "target/relay", "executable of the relay")
	record := flag.String("record", "record.txt", "file to write to")
	flag.Parse()
	os.Exit(run(*name, *relay, *record))
}

func run(name, relay, record string) int {
	p, ok := plays[name]
	if !ok {
		fmt.Fprintf(os.Stderr, "stand3: no case %q\n", name)
		return exitUnable
	}
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	ctx, cancelSignals := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
	defer cancelSignals()
	f, err := newFleet(relay, record)
	if err != nil {
		fmt.Fprintln(os.Stderr, "stand3:", err)
		return exitUnable
	}
	defer f.close()
	stop := context.AfterFunc(ctx, func() {
		f.close()
		os.Exit(exitUnable)
	})
	defer stop()
	trouble := os.Getenv("TROUBLE") != "0"
	f.note("case %s, disturbance: %t", name, trouble)
	broken, err := p(ctx, f, trouble)
	switch {
	case err != nil:
		f.note("the case could not run: %v", err)
		fmt.Println("could not run:", err)
		return exitUnable
	case broken:
		f.note("result: the rule was broken")
		fmt.Println("the rule was broken")
		return exitBroken
	}
	f.note("result: the rule held")
	fmt.Println("the rule held")
	return exitHeld
}
