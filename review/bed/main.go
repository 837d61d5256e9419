// Command bed plays one case of the review: it starts gateways as separate processes in front of small stand-ins of
// the platform's store, of engines, of an application and of clients, and judges what the clients and the replicas
// have seen. It exits with 0 if the rule held, 1 if it was broken, and 2 if the case could not run.
package main

import (
	"flag"
	"fmt"
	"os"
	"time"
)

// scenario is one case. It returns whether the rule was broken.
type scenario func(b *bed) (broken bool, err error)

var scenarios = map[string]scenario{
	"weights": playWeights,
	"drain":   playDrain,
	"grey":    playGrey,
}

func main() {
	name := flag.String("case", "", "the case to play")
	program := flag.String("program", "target/drumpath", "the program of the nodes")
	record := flag.String("record", "record.txt", "the file for what was seen")
	trouble := flag.Bool("trouble", true, "with the disruption")
	flag.Parse()
	play, ok := scenarios[*name]
	if !ok {
		fmt.Fprintf(os.Stderr, "no case %q\n", *name)
		os.Exit(2)
	}
	os.Exit(run(play, *program, *record, *trouble))
}

// run plays a case and returns the exit code.
func run(play scenario, program, record string, trouble bool) int {
	b, err := newBed(program, record, trouble)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer b.close()
	broken, err := play(b)
	switch {
	case err != nil:
		b.note("could not run: %v", err)
		return 2
	case broken:
		b.note("the rule was BROKEN")
		return 1
	default:
		b.note("the rule held")
		return 0
	}
}

// waitFor polls until ok returns true.
func waitFor(what string, limit time.Duration, ok func() bool) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if ok() {
			return nil
		}
	}
	return fmt.Errorf("timed out waiting until %s", what)
}
