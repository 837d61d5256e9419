// Command measure runs drumpath's measurements: real nodes and stand-ins in one
// process, on loopback.
package main

import (
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"
)

func main() {
	p := flags.NewNamedParser("measure", flags.HelpFlag)
	commands := []struct {
		name, short string
		data        flags.Commander
	}{
		{"nodes", "Measure idle nodes, and how fast a change spreads", &nodesCommand{}},
		{"soak", "Soak gateways on a platform of stand-ins with faults from outside", &platformSoakCommand{}},
		{"soak-own", "Soak nodes behind the product's own interface", &soakCommand{}},
		{"policy", "Compare the placement policies under load and faults", &policyCommand{}},
	}
	for _, c := range commands {
		if _, err := p.AddCommand(c.name, c.short, c.short, c.data); err != nil {
			exitWithError(err)
		}
	}
	if _, err := p.Parse(); err != nil {
		exitWithError(err)
	}
}

func exitWithError(err error) {
	_, _ = fmt.Fprintln(os.Stderr, err) // A failed write cannot be reported.
	os.Exit(1)
}
