// Command standind runs one stand-in as a process.
package main

import (
	"os"

	"github.com/drumpath/drumpath/internal/standin"
)

func main() { os.Exit(standin.Main(os.Args[1:], os.Stdout, os.Stderr)) }
