package cmds

import "runtime/debug"

type versionCommand struct{ std stdio }

// Execute implements flags.Commander.
func (c *versionCommand) Execute([]string) error {
	version := "unknown"
	if info, ok := debug.ReadBuildInfo(); ok {
		version = info.Main.Version
	}
	c.std.printf("drumpath %s\n", version)
	return nil
}
