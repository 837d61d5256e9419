// Package cmds is the command tree of drumpath.
package cmds
