package operator

import (
	"github.com/drumpath/drumpath/pkg/lang"
)

// RunRequest asks a node to run a script.
type RunRequest struct {
	Text string `json:"text"`
}

// RunAnswer has one result for each statement that was run.
type RunAnswer struct {
	Results []Result `json:"results"`
}

// Result is the result of one statement.
type Result struct {
	Table   *lang.Table `json:"table,omitempty"`
	Version uint64      `json:"version,omitempty"` // Configuration version of the change.
	// InForce is true if every working node has the change; set only with wait.
	InForce bool `json:"in_force,omitempty"`
	// Error ends the script; the changes of earlier statements stay in force.
	Error *Error `json:"error,omitempty"`
}

// ErrorKind says why a statement failed.
type ErrorKind string

// Kinds of errors.
const (
	ErrorSyntax   ErrorKind = "syntax"
	ErrorQuery    ErrorKind = "query"
	ErrorCommand  ErrorKind = "command"
	ErrorConflict ErrorKind = "conflict"
	ErrorUnknown  ErrorKind = "outcome_unknown"
	ErrorPlatform ErrorKind = "platform"
)

// Error is the error of a statement.
type Error struct {
	Kind    ErrorKind `json:"kind"`
	Message string    `json:"message"`
	// Winner is the version of the change that won a conflict.
	Winner uint64 `json:"winner,omitempty"`
}

// Error returns the kind and the message.
func (e *Error) Error() string { return string(e.Kind) + ": " + e.Message }

// RowsRequest asks a node for its own rows of a table.
type RowsRequest struct {
	Table string `json:"table"`
}
