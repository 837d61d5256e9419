package cmds

import (
	"errors"
	"io"
	"os"
	"sort"

	"github.com/drumpath/drumpath/pkg/explain"
)

const explainHelp = `Reads log files of nodes, or standard input, and explains why a request
ended as it did: the last known state of the nodes and replicas that it
used, its log lines from all nodes in order, and the cause in one sentence.
Other text may precede the JSON of a line.

Exit codes: 0 the request was answered, 1 the files can't be read,
6 the request failed, 7 no line names the request.

Example: drumpath explain 9c41d07be2a35f68 node1.log node2.log`

// Exit codes of explain.
const (
	// ExitRequestFailed: the request got no successful answer.
	ExitRequestFailed = 6
	// ExitRequestUnknown: no log line names the request.
	ExitRequestUnknown = 7
)

type explainCommand struct {
	Args struct {
		ID    string   `positional-arg-name:"ID" required:"true" description:"the request's id"`
		Files []string `positional-arg-name:"FILE" description:"log files; standard input if there are none"`
	} `positional-args:"true"`
	std stdio
}

// Execute implements flags.Commander.
func (c *explainCommand) Execute([]string) error {
	inputs := []io.Reader{c.std.in}
	if len(c.Args.Files) > 0 {
		inputs = nil
	}
	for _, name := range c.Args.Files {
		f, err := os.Open(name)
		if err != nil {
			return err
		}
		defer func() { _ = f.Close() }() // The file was only read.
		inputs = append(inputs, f)
	}
	r, err := explain.Read(c.Args.ID, inputs...)
	if errors.Is(err, explain.ErrRequestNotFound) {
		c.std.errorf("drumpath: %s: %v\n", c.Args.ID, err)
		return &exitError{ExitRequestUnknown}
	}
	if err != nil {
		return err
	}
	c.print(&r)
	if r.Failed {
		return &exitError{ExitRequestFailed}
	}
	return nil
}

func (c *explainCommand) print(r *explain.Report) {
	c.std.printf("State before the request:\n")
	c.printLines(r.Before)
	c.std.printf("The request %s:\n", r.Request)
	c.printLines(r.Lines)
	c.std.printf("%s\n", r.Cause)
}

func (c *explainCommand) printLines(lines []explain.Line) {
	for i := range lines {
		l := &lines[i]
		c.std.printf("  %s %s %s", l.Time.Format("15:04:05.000"), l.Node, l.Msg)
		keys := make([]string, 0, len(l.Values))
		for key := range l.Values {
			if key != "time" && key != "msg" && key != "level" && key != "request" {
				keys = append(keys, key)
			}
		}
		sort.Strings(keys)
		for _, key := range keys {
			c.std.printf(" %s=%s", key, l.Text(key))
		}
		c.std.printf("\n")
	}
}
