package cmds

import (
	"strings"

	"github.com/rotisserie/eris"

	"github.com/drumpath/drumpath/pkg/config"
)

const checkHelp = `Checks a settings file and lists every fault with its line, the value
found and the value expected. It starts nothing.

Examples:
  drumpath check -c node.json
  drumpath check --gateway --strict -c settings.json`

type settingsFlag struct {
	Config string `short:"c" long:"config" value-name:"FILE" required:"true" description:"settings file, JSON with comments"`
}

type checkCommand struct {
	settingsFlag
	Gateway bool `long:"gateway" description:"the file is a gateway's"`
	Strict  bool `long:"strict" description:"refuse settings that are for measurements only"`
	std     stdio
}

// Execute implements flags.Commander.
func (c *checkCommand) Execute([]string) error {
	if err := c.check(); err != nil {
		return err
	}
	c.std.printf("%s: no faults\n", c.Config)
	return nil
}

func (c *checkCommand) check() error {
	if c.Gateway {
		s, err := config.LoadGateway(c.Config)
		if disabled := s.Disabled.Names(); err == nil && c.Strict && len(disabled) > 0 {
			return eris.Errorf("%s: without: mechanisms are off: %s", c.Config, strings.Join(disabled, ", "))
		}
		return err
	}
	_, err := config.Load(c.Config)
	return err
}
