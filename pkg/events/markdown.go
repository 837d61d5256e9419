package events

import (
	"fmt"
	"strings"
)

// Markdown is docs/LOGS.md.
func Markdown() string {
	var b strings.Builder
	b.WriteString(`# Log lines

Made from pkg/events/catalogue.go by ` + "`go run ./_scripts/logs > docs/LOGS.md`" + `; a test
holds it against the catalogue, and the catalogue against the code.

A node writes JSON lines to standard output, each with ` + "`time`, `level` and `msg`" + `.
They never hold a request up. Routine lines are sampled first when there are
too many, failures last; "lines left out" tells how many are missing.
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
