package tablestore

import "errors"

var (
	// ErrNotApplied means that a write did not and will not take effect.
	ErrNotApplied = errors.New("not applied")
	// ErrOutcomeUnknown means that a write may have taken effect, or may still do so.
	ErrOutcomeUnknown = errors.New("outcome unknown")
	// ErrUnavailable means that the service did not answer a read.
	ErrUnavailable = errors.New("platform service unavailable")
	// ErrNotFound means that there is no object with that name.
	ErrNotFound = errors.New("not found")
)
