// Command bed2 runs the scripted cases of the second review against nodes that it starts as processes of their own.
// Usage: review-bed-2 CASE PROGRAM RECORD. It exits with 1 if the rule of the case was broken, with 0 if it held, and
// with 2 if the case couldn't run. With TROUBLE=0 in the environment it leaves the disruption out.
package main

import (
	"fmt"
	"os"
)

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: review-bed-2 CASE PROGRAM RECORD")
		os.Exit(2)
	}
	cases := map[string]func(*bed) (bool, error){"split": runSplit, "wall": runWall}
	run, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case:", os.Args[1])
		os.Exit(2)
	}
	b, err := newBed(os.Args[2], os.Args[3], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	broken, err := run(b)
	if err != nil {
		b.note("couldn't run: %v", err)
	}
	b.close()
	switch {
	case err != nil:
		os.Exit(2)
	case broken:
		os.Exit(1)
	}
}
