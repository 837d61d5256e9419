package gateway

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"time"

	"github.com/drumpath/drumpath/pkg/route"
	"github.com/drumpath/drumpath/pkg/site"
)

// A forwarded request is a line of JSON, a forwardHead, and the request as the replica is to get
// it. The answer is a line with a forwardReply, and the replica's answer if the reply has no
// reason. If a stream ends without a reply, or within the replica's answer, the request may have
// run.

// forwardedReplica identifies a replica to another node.
type forwardedReplica struct {
	ID      string         `json:"id"`
	Service string         `json:"service"`
	Addr    netip.AddrPort `json:"addr"`
	Started int64          `json:"started,omitempty"` // Unix milliseconds, 0 if unknown.
}

func newForwardedReplica(u *site.Upstream) forwardedReplica {
	r := forwardedReplica{ID: u.ID, Service: u.Service, Addr: u.Addr}
	if !u.Started.IsZero() {
		r.Started = u.Started.UnixMilli()
	}
	return r
}

// upstream returns the replica that is meant.
func (r *forwardedReplica) upstream() *site.Upstream {
	u := &site.Upstream{ID: r.ID, Service: r.Service, Addr: r.Addr}
	if r.Started > 0 {
		u.Started = time.UnixMilli(r.Started)
	}
	return u
}

// forwardHead precedes a forwarded request.
type forwardHead struct {
	Replica forwardedReplica `json:"replica"`
	// Node is the node that received the request, which decides all about it.
	Node string `json:"node"`
	// Request is the ID of the request. Content and QuickHash identify what it asks for, in
	// reports of replicas that end under it.
	Request   string           `json:"request"`
	Content   site.Fingerprint `json:"content"`
	QuickHash uint64           `json:"quick"`
	// Parts are the IDs of the parts of its prompt that other requests may share.
	Parts []string `json:"parts,omitempty"`
	// Repeatable means that an idle connection may be used which the replica may be closing.
	Repeatable bool `json:"repeatable,omitempty"`
	Streaming  bool `json:"streaming,omitempty"`
	// ExpectedMS is the expected time to the first event, PauseMS the longest allowed pause between
	// two, and LeftMS the time until the request's deadline.
	ExpectedMS int64 `json:"expected_ms,omitempty"`
	PauseMS    int64 `json:"pause_ms,omitempty"`
	LeftMS     int64 `json:"left_ms"`
}

// forwardReply precedes a replica's answer.
type forwardReply struct {
	// Reason is why the request was not sent to the replica, "" if it was.
	Reason notForwarded `json:"reason,omitempty"`
	// Load is the number of requests that the node forwards.
	Load int `json:"load"`
}

// notForwarded is why a node did not send on a request of another one.
type notForwarded string

// Reasons.
const (
	// notForwardedUnreachable: the node reaches other replicas, but not this one.
	notForwardedUnreachable notForwarded = "unreachable"
	// notForwardedCutOff: the node's own paths are presumed to be at fault.
	notForwardedCutOff notForwarded = "cut_off"
	// notForwardedBusy: it forwards as many requests as it may.
	notForwardedBusy notForwarded = "busy"
	// notForwardedStopping: it is stopping, or its state is out of date.
	notForwardedStopping notForwarded = "stopping"
	// notForwardedExcluded: the replica is unknown to it, or accepts no requests.
	notForwardedExcluded notForwarded = "excluded"
)

// notForwardedError is the error of an attempt that another node did not send on. It did not run.
type notForwardedError struct {
	node   string
	reason notForwarded
}

// Error implements error.
func (e *notForwardedError) Error() string {
	return fmt.Sprintf("node %s did not forward the request: %s", e.node, e.reason)
}

// errForwardLine means that a line of a stream between nodes is too long.
var errForwardLine = errors.New("line of a forwarded request too long")

// readForwardLine reads a line of JSON.
func readForwardLine(r *bufio.Reader, v any) error {
	line, err := r.ReadSlice('\n')
	switch {
	case errors.Is(err, bufio.ErrBufferFull):
		return errForwardLine
	case err == io.EOF && len(line) > 0:
		return io.ErrUnexpectedEOF
	case err != nil:
		return err
	}
	return json.Unmarshal(line, v)
}

// appendForwardLine appends a line of JSON.
func appendForwardLine(b []byte, v any) ([]byte, error) {
	line, err := json.Marshal(v)
	if err != nil {
		return b, err
	}
	return append(append(b, line...), '\n'), nil
}

// methodOpinion asks a node whether it reaches a replica.
const methodOpinion = "gateway.reaches"

type opinionRequest struct {
	Replica forwardedReplica `json:"replica"`
	// SinceMS is how many milliseconds ago the asking node began to connect. If the node that is
	// asked has heard the replica since then it need not connect itself.
	SinceMS int64 `json:"since_ms"`
}

type opinionReply struct {
	Opinion route.Opinion `json:"opinion"`
	Load    int           `json:"load"`
}
