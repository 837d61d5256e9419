package events

import (
	"fmt"
	"strings"
)

// Markdown returns the text of docs/LOGS.md.
func Markdown() string {
	var b strings.Builder
	b.WriteString(`# Log lines

Generated from pkg/events/catalogue.go by ` + "`go run ./_scripts/logs > docs/LOGS.md`" + `; a
test checks this page against the catalogue, and the catalogue against the code.

A node writes JSON lines to standard output, each with ` + "`time`, `level` and `msg`" + `.
Logging never blocks a request. When there are too many lines, routine lines are
dropped first, others only when the queue is full; "log lines dropped" counts them.
Durations are in nanoseconds unless their key says otherwise.
`)
	for _, e := range Catalogue {
		fmt.Fprintf(&b, "\n## %s\n\n%s Class: %s.\n\n| key | meaning |\n|---|---|\n", e.Name, e.Doc, e.Class)
		for _, k := range e.Keys {
			fmt.Fprintf(&b, "| `%s` | %s |\n", k.Name, k.Doc)
		}
	}
	b.WriteString("\n## Reasons\n\n| reason | meaning |\n|---|---|\n")
	for _, k := range Reasons {
		fmt.Fprintf(&b, "| `%s` | %s |\n", k.Name, k.Doc)
	}
	return b.String()
}
