// Command drumpath routes prompts that return after long gaps to model engines
// and to the state that was kept for them.
package main

import (
	"os"

	"github.com/drumpath/drumpath/cmd/drumpath/cmds"
)

func main() { os.Exit(cmds.Run(os.Args[1:], os.Stdin, os.Stdout, os.Stderr)) }
