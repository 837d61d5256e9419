// Command ablate runs days of the users' bench with one mechanism of the nodes switched off
// at a time and prints how much worth each mechanism adds.
package main

import (
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"
)

type options struct {
	Play  playCommand  `command:"play" description:"play what is not yet in the results"`
	Table tableCommand `command:"table" description:"print what each mechanism is worth"`
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		if flags.WroteHelp(err) {
			return
		}
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
