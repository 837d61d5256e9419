package control

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
)

// ClaimState is how far a claimed request has come.
type ClaimState string

// Claim states.
const (
	// ClaimHeld: some node may have run the request; it never will again.
	ClaimHeld ClaimState = "held"
	// ClaimVoid: the claimer did not and will not run it; it may be claimed.
	ClaimVoid ClaimState = "void"
	// ClaimDone: it ran, and this was the result.
	ClaimDone ClaimState = "done"
)

// Result is the recorded answer of a claimed request.
type Result struct {
	Status      int    `json:"status"`
	ContentType string `json:"content_type"`
	Body        []byte `json:"body"`
}

// claimRow is what the table service keeps of a claim.
type claimRow struct {
	State  ClaimState `json:"state"`
	Nonce  string     `json:"nonce"`
	Node   string     `json:"node"`
	Result *Result    `json:"result,omitempty"`
}

// Claim is this node's right to run one request, once.
type Claim struct {
	row     string
	nonce   string
	version uint64 // Of the row, once granted.
}

// TakenError says that the request was claimed before.
type TakenError struct {
	State  ClaimState
	Node   string
	Result *Result // If one was recorded.
}

// Error names who claimed it.
func (e *TakenError) Error() string {
	return fmt.Sprintf("claimed before by node %s (%s)", e.Node, e.State)
}

// ErrNoClaim says that no claim could be had in time; the request must not be
// run, and this node never will under this attempt.
var ErrNoClaim = errors.New("no claim could be had")

// claimKey names the row of an organisation's key; both are hashed, so that
// callers' keys can't form another's row name.
func claimKey(organisation, key string) string {
	h := sha256.New()
	_, _ = fmt.Fprintf(h, "%d:%s%s", len(organisation), organisation, key) // It never fails.
	return "claim/" + hex.EncodeToString(h.Sum(nil)[:KeyHashSize])
}

// KeyHashSize is the length of the hash in claims' row names.
const KeyHashSize = 16
