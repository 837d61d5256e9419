package cmds

import "github.com/drumpath/drumpath/pkg/config"

const checkHelp = `Checks a settings file and lists every fault with its line, what was
found and what is wanted. Nothing is started.

Example: drumpath check -c node.json`

type settingsFlag struct {
	Config string `short:"c" long:"config" value-name:"FILE" required:"true" description:"settings file, JSON with comments"`
}

type checkCommand struct {
	settingsFlag
	std stdio
}

// Execute implements flags.Commander.
func (c *checkCommand) Execute([]string) error {
	if _, err := config.Load(c.Config); err != nil {
		return err
	}
	c.std.printf("%s: no faults\n", c.Config)
	return nil
}
