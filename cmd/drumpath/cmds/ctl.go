package cmds

import (
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"

	"github.com/rotisserie/eris"

	"github.com/drumpath/drumpath/pkg/lang"
	"github.com/drumpath/drumpath/service/operator"
	"github.com/drumpath/drumpath/service/peer"
)

const ctlHelp = `Runs statements of the query and command language, given as arguments,
in a file, or on standard input.

Examples:
  drumpath ctl -n 127.0.0.1:9080 "show upstreams where kind = engine"
  drumpath ctl -n 127.0.0.1:9080 "drain upstream e3 if version 41 wait"
  drumpath ctl -n 127.0.0.1:9080 -f setup.dp
  echo "show changes" | drumpath ctl -n 127.0.0.1:9080`

type ctlCommand struct {
	remoteFlags
	File string `short:"f" long:"file" value-name:"FILE" description:"file of statements"`
	JSON bool   `long:"json" description:"print JSON"`
	std  stdio
}

// Execute implements flags.Commander.
func (c *ctlCommand) Execute(args []string) error {
	text, err := c.text(args)
	if err != nil {
		return err
	}
	var a operator.RunAnswer
	if err := c.call(peer.MethodRun, operator.RunRequest{Text: text}, &a); err != nil {
		return err
	}
	if c.JSON {
		if err := c.std.printJSON(a); err != nil {
			return err
		}
	}
	for _, r := range a.Results {
		if !c.JSON {
			c.print(r)
		}
		if r.Error == nil {
			continue
		}
		c.std.errorf("%v\n", r.Error)
		if r.Error.Kind == operator.ErrorUnknown {
			return &exitError{code: ExitOutcomeUnknown}
		}
		return &exitError{code: ExitRefused}
	}
	return nil
}

func (c *ctlCommand) text(args []string) (text string, err error) {
	defer func() { err = eris.Wrap(err, "statements") }()
	if len(args) > 0 {
		return strings.Join(args, " "), nil
	}
	r := c.std.in
	if c.File != "" {
		f, err := os.Open(c.File)
		if err != nil {
			return "", err
		}
		defer func() { _ = f.Close() }()
		r = f
	}
	body, err := io.ReadAll(r)
	return string(body), err
}

func (c *ctlCommand) print(r operator.Result) {
	switch {
	case r.Table != nil:
		c.std.printTable(*r.Table)
	case r.Version > 0 && r.InForce:
		c.std.printf("version %d, in force everywhere\n", r.Version)
	case r.Version > 0:
		c.std.printf("version %d\n", r.Version)
	}
}

// printTable writes a table in columns.
func (s stdio) printTable(t lang.Table) {
	w := tabwriter.NewWriter(s.out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, strings.Join(t.Columns, "\t")) // A failed write can't be reported.
	for _, row := range t.Rows {
		_, _ = fmt.Fprintln(w, strings.Join(row, "\t")) // A failed write can't be reported.
	}
	_ = w.Flush() // A failed write can't be reported.
}
