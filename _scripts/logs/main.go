// Command logs prints docs/LOGS.md.
package main

import (
	"fmt"

	"github.com/drumpath/drumpath/pkg/events"
)

func main() { fmt.Print(events.Markdown()) }
