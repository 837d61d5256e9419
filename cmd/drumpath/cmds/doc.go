// Package cmds has the commands of the drumpath program.
package cmds
