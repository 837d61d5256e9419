package cmds

import (
	"encoding/json"

	"github.com/drumpath/drumpath/service/peer"
)

const dumpHelp = `Shows the state of one process as JSON: members, configuration version,
directory, links, queues, leases and requests in flight.

Example: drumpath dump -n 127.0.0.1:9080`

type dumpCommand struct {
	remoteFlags
	std stdio
}

// Execute implements flags.Commander.
func (c *dumpCommand) Execute([]string) error {
	var a json.RawMessage
	if err := c.call(peer.MethodDump, struct{}{}, &a); err != nil {
		return err
	}
	return c.std.printJSON(a)
}

const logLevelHelp = `Changes the log level of a running process.

Example: drumpath log-level -n 127.0.0.1:9080 debug`

type logLevelCommand struct {
	remoteFlags
	Args struct {
		Level string `positional-arg-name:"LEVEL" choice:"debug" choice:"info" choice:"warn" choice:"error"`
	} `positional-args:"true" required:"true"`
	std stdio
}

// Execute implements flags.Commander.
func (c *logLevelCommand) Execute([]string) error {
	return c.call(peer.MethodLogLevel, peer.LogLevelRequest{Level: c.Args.Level}, nil)
}
