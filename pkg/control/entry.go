package control

import (
	"fmt"

	"github.com/drumpath/drumpath/pkg/config"
)

// Entry is one accepted command of the configuration log.
type Entry struct {
	Version uint64 `json:"version"`
	// Nonce tells a writer whose answer was lost that the entry is its own.
	Nonce   string         `json:"nonce"`
	Node    string         `json:"node"`
	Command config.Command `json:"command"`
}

// headRow is the row whose version is the configuration's version.
type headRow struct {
	Version uint64 `json:"version"`
}

// Delta brings an older configuration up to date: entries, or the whole state
// where the sender no longer has them.
type Delta struct {
	Entries []Entry       `json:"entries,omitempty"`
	State   *config.State `json:"state,omitempty"`
}

// ConflictError says that another change came first.
type ConflictError struct {
	Wanted        uint64 // The version the change was meant for, 0 if any.
	Winner        uint64 // The version of the change that won.
	WinnerCommand string // That change, if it was for the same object.
}

// Error names the winner's version.
func (e *ConflictError) Error() string {
	if e.WinnerCommand != "" {
		return fmt.Sprintf("conflict: version %d changed the same object: %s", e.Winner, e.WinnerCommand)
	}
	return fmt.Sprintf("conflict: version %d was wanted, but the configuration is at version %d", e.Wanted, e.Winner)
}

// OutcomeUnknownError says that a change may have been accepted as a version.
type OutcomeUnknownError struct {
	Version uint64
	Nonce   string
}

// Error says how to find out.
func (e *OutcomeUnknownError) Error() string {
	return fmt.Sprintf("outcome unknown: the change may have become version %d (nonce %s); ask again with 'show changes'", e.Version, e.Nonce)
}
