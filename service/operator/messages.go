package operator

import (
	"github.com/drumpath/drumpath/pkg/lang"
)

// RunRequest asks for a script to be carried out.
type RunRequest struct {
	Text string `json:"text"`
}

// RunAnswer has one result for each statement that was carried out.
type RunAnswer struct {
	Results []Result `json:"results"`
}

// Result is the result of one statement.
type Result struct {
	Table   *lang.Table `json:"table,omitempty"`
	Version uint64      `json:"version,omitempty"` // Of the change.
	// InForce says that every working node has the change; only with wait.
	InForce bool `json:"in_force,omitempty"`
	// Error ends the script; earlier statements stay in force.
	Error *Error `json:"error,omitempty"`
}

// ErrorKind is the kind of an operator's error.
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

// Error is what an operator is told of a statement that failed.
type Error struct {
	Kind    ErrorKind `json:"kind"`
	Message string    `json:"message"`
	// Winner is the version that won a conflict.
	Winner uint64 `json:"winner,omitempty"`
}

// Error gives kind and message.
func (e *Error) Error() string { return string(e.Kind) + ": " + e.Message }

// RowsRequest asks a node for its own rows of a table.
type RowsRequest struct {
	Table string `json:"table"`
}
