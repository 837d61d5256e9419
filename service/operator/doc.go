// Package operator is the interface for operators: the query and command
// language and the dump of a process's state.
package operator
