// Command stand plays the cases of the review: it starts a small deployment of real
// processes on loopback, with stand-ins for the platform's store, for servers and for
// consumers, and checks one rule.
//
// # Usage
//
//	stand --program target/relay --record review/1/record.txt CASE
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not
// run. With TROUBLE=0 in the environment it leaves the disruption out.
package main

import (
	"flag"
	"fmt"
	"os"
)

// cases are the cases by name. A case returns how often its rule was broken.
var cases = map[string]func(*setup) (int, error){
	"drain":    playDrain,
	"late":     playLate,
	"reborn":   playReborn,
	"slowline": playSlowLine,
	"upload":   playUpload,
}

// setup is what every case needs.
type setup struct {
	program string
	record  *record
	trouble bool
}

func main() {
	program := flag.String("program", "target/relay", "the program of the deploy file")
	path := flag.String("record", "record.txt", "file for what was sent, answered and run")
	flag.Parse()
	os.Exit(play(*program, *path, flag.Arg(0)))
}

// play plays a case and returns the exit code.
func play(program, path, name string) int {
	run, ok := cases[name]
	if !ok {
		fmt.Fprintf(os.Stderr, "stand: no case %q\n", name)
		return 2
	}
	rec, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, "stand:", err)
		return 2
	}
	defer rec.file.Close()
	s := &setup{program: program, record: rec, trouble: os.Getenv("TROUBLE") != "0"}
	broken, err := run(s)
	switch {
	case err != nil:
		rec.printf("the case could not run: %v", err)
		fmt.Println("the case could not run:", err)
		return 2
	case broken > 0:
		rec.printf("the rule was broken %d times", broken)
		fmt.Printf("the rule was broken %d times\n", broken)
		return 1
	}
	rec.printf("the rule held")
	fmt.Println("the rule held")
	return 0
}
