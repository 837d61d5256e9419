package control

import (
	"fmt"

	"github.com/drumpath/drumpath/pkg/config"
)

// Entry is one accepted command of the configuration log.
type Entry struct {
	Version uint64 `json:"version"`
	// Nonce lets a writer whose answer was lost recognise its own entry.
	Nonce   string         `json:"nonce"`
	Node    string         `json:"node"`
	Command config.Command `json:"command"`
}

// headRow is the value of the row whose version is the configuration's version.
type headRow struct {
	Version uint64 `json:"version"`
}

// Delta brings an older configuration up to date, with the missing entries or,
// if the sender no longer has them or they are too many, with the whole state.
type Delta struct {
	Entries []Entry       `json:"entries,omitempty"`
	State   *config.State `json:"state,omitempty"`
}

// ConflictError reports that another change was accepted first.
type ConflictError struct {
	Wanted        uint64 // The version that the change required, 0 if any.
	Winner        uint64 // The version of the change that was accepted, or the current version.
	WinnerCommand string // That change's command, if it was for the same object.
}

// Error names the version of the accepted change.
func (e *ConflictError) Error() string {
	if e.WinnerCommand != "" {
		return fmt.Sprintf("conflict: version %d changed the same object: %s", e.Winner, e.WinnerCommand)
	}
	return fmt.Sprintf("conflict: version %d was wanted, but the configuration is at version %d", e.Wanted, e.Winner)
}

// OutcomeUnknownError reports that a change may have been accepted as Version.
type OutcomeUnknownError struct {
	Version uint64
	Nonce   string
}

// Error tells the operator how to find the outcome.
func (e *OutcomeUnknownError) Error() string {
	return fmt.Sprintf("outcome unknown: the change may have become version %d (nonce %s); ask again with 'show changes'", e.Version, e.Nonce)
}
