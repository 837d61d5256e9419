package config

import "fmt"

// Verb is what a command does.
type Verb string

// Verbs of commands.
const (
	VerbCreate  Verb = "create"
	VerbAlter   Verb = "alter"
	VerbDrop    Verb = "drop"
	VerbDrain   Verb = "drain"
	VerbRestore Verb = "restore"
)

// Kind is the kind of object a command changes.
type Kind string

// Kinds of configured objects.
const (
	KindOrganisation Kind = "organisation"
	KindModel        Kind = "model"
	KindAdapter      Kind = "adapter"
	KindRule         Kind = "rule"
	KindUpstream     Kind = "upstream"
	KindNode         Kind = "node"
)

// Field is one named value of a command, as written by the operator.
type Field struct {
	Name  string `json:"n"`
	Value string `json:"v"`
}

// Command is one change of configuration.
type Command struct {
	Verb   Verb    `json:"verb"`
	Kind   Kind    `json:"kind"`
	Name   string  `json:"name"`
	Fields []Field `json:"fields,omitempty"`
}

// String writes the command in the command language, with secrets masked.
func (c Command) String() string {
	text := fmt.Sprintf("%s %s %s", c.Verb, c.Kind, c.Name)
	for i, f := range c.Fields {
		separator := ","
		if i == 0 {
			separator = " with"
		}
		value := f.Value
		if f.Name == fieldKey {
			value = "***"
		}
		text += fmt.Sprintf("%s %s '%s'", separator, f.Name, value)
	}
	return text
}

// CommandError is the reason why a command can't be applied to the configuration.
type CommandError struct {
	Command Command
	Reason  string
}

// Error gives the command and the reason.
func (e *CommandError) Error() string { return e.Command.String() + ": " + e.Reason }
