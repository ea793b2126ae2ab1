// Command probe plays the cases of the second review that are scripts: it starts the
// project's own program as separate processes on loopback addresses, with stand-ins for
// the platform's store, instances and consumers, and checks one rule by what these see.
//
// # Usage
//
//	TROUBLE=1 probe --case 6 --root ../.. --record record.txt
//
// The exit status is 1 if the rule was broken, 0 if it held, and 2 if the case could not
// run.
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

// The exit statuses.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// maxRun bounds a run of a case, with the end of all processes.
const maxRun = 100 * time.Second

// verdict is the result of a case.
type verdict struct {
	broken  bool
	summary string
}

// cases are the cases by their numbers.
var cases = map[int]func(ctx context.Context, p *play) (verdict, error){}

func main() {
	number := flag.Int("case", 0, "number of the case")
	root := flag.String("root", ".", "root of the repository, with the build of the deploy file")
	recordPath := flag.String("record", "record.txt", "file for what was sent, answered and run")
	flag.Parse()
	os.Exit(run(*number, *root, *recordPath))
}

// run plays a case and returns the exit status.
func run(number int, root, recordPath string) int {
	play, err := newPlay(root, recordPath, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	v, err := playCase(number, play)
	if err != nil {
		v.summary = fmt.Sprintf("could not run: %v", err)
	}
	play.log.add("%s", v.summary)
	play.close() // before anything is printed: the reader may be gone
	fmt.Println(v.summary)
	switch {
	case err != nil:
		return exitFailed
	case v.broken:
		return exitBroken
	}
	return exitHeld
}

// playCase plays a case until it ends, its time is over, or the process is told to stop.
func playCase(number int, p *play) (verdict, error) {
	ctx, cancel := context.WithTimeout(context.Background(), maxRun)
	defer cancel()
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	runCase, ok := cases[number]
	if !ok {
		return verdict{}, fmt.Errorf("there is no case %d", number)
	}
	v, err := runCase(ctx, p)
	if err != nil {
		return v, err
	}
	return v, ctx.Err()
}
