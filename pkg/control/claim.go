package control

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
)

// ClaimState is the state of a claimed request.
type ClaimState string

// Claim states.
const (
	// ClaimHeld means that the holder may have run the request, so no node may
	// run it again.
	ClaimHeld ClaimState = "held"
	// ClaimVoid means that the holder did not and will not run the request, so
	// it may be claimed again.
	ClaimVoid ClaimState = "void"
	// ClaimDone means that the request has run; its result may be recorded.
	ClaimDone ClaimState = "done"
)

// Result is the recorded response to a claimed request.
type Result struct {
	Status      int    `json:"status"`
	ContentType string `json:"content_type"`
	Body        []byte `json:"body"`
}

// claimRow is the table service's row for a claim.
type claimRow struct {
	State  ClaimState `json:"state"`
	Nonce  string     `json:"nonce"`
	Node   string     `json:"node"`
	Result *Result    `json:"result,omitempty"`
}

// Claim is this node's right to run a request once.
type Claim struct {
	row     string
	nonce   string
	version uint64 // Row version, 0 until the claim is granted.
}

// TakenError reports that the request has already been claimed.
type TakenError struct {
	State  ClaimState
	Node   string
	Result *Result // Nil if none was recorded.
}

// Error names the node that holds the claim.
func (e *TakenError) Error() string {
	return fmt.Sprintf("claimed before by node %s (%s)", e.Node, e.State)
}

// ErrNoClaim reports that no claim was obtained in time. The request must not
// be run under this attempt.
var ErrNoClaim = errors.New("no claim could be had")

// claimKey returns the row key for an organisation's idempotency key. Hashing
// both, with the length of the name, keeps a client from choosing a key that
// yields another organisation's row.
func claimKey(organisation, key string) string {
	h := sha256.New()
	_, _ = fmt.Fprintf(h, "%d:%s%s", len(organisation), organisation, key) // A hash never returns an error.
	return "claim/" + hex.EncodeToString(h.Sum(nil)[:KeyHashSize])
}

// KeyHashSize is the number of bytes of the hash used in a claim's row key.
const KeyHashSize = 16
