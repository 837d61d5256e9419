// Command drumpath routes LLM prompts to engines. A prompt that is repeated after a long
// time runs where its KV cache still is, or imports it from a store.
package main

import (
	"os"

	"github.com/drumpath/drumpath/cmd/drumpath/cmds"
)

func main() { os.Exit(cmds.Run(os.Args[1:], os.Stdin, os.Stdout, os.Stderr)) }
