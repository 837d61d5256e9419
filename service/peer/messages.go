package peer

import (
	"net/netip"

	"github.com/drumpath/drumpath/pkg/control"
	"github.com/drumpath/drumpath/pkg/prompt"
)

// Methods of the interface.
const (
	MethodHello    = "hello"
	MethodObserve  = "directory.observe"
	MethodLookup   = "directory.look"
	MethodUpdate   = "directory.update"
	MethodCommit   = "claim.commit"
	MethodSince    = "config.since"
	MethodMembers  = "member.list"
	MethodLeaving  = "platform.leaving"
	MethodRun      = "operator.run"
	MethodDump     = "operator.dump"
	MethodLogLevel = "operator.log-level"
	methodProbe    = "member.probe"
	methodPing     = "ping"
	// methodLargeAnswer announces to the calling node that a large answer is being encoded.
	methodLargeAnswer = "coming"
	errUnauthorised   = -32001
	errUnknownMethod  = -32601
	errInternal       = -32603
)

// Role is the kind of client that opened a connection.
type Role string

// Roles.
const (
	RolePeer     Role = "peer"
	RoleOperator Role = "operator"
)

// Hello is the first call on a connection.
type Hello struct {
	Role   Role   `json:"role"`
	Secret string `json:"secret"`
}

// ObserveRequest looks up the marks of a prompt's chain in a directory shard and
// records this occurrence of them.
type ObserveRequest struct {
	Marks prompt.PackedMarks `json:"marks"`
}

// UpdateRequest reports to a directory shard what one upstream has added to its cache and
// removed from it.
type UpdateRequest struct {
	Upstream string `json:"upstream"`
	// Reset first drops everything that the shard knows of the upstream.
	Reset bool `json:"reset,omitempty"`
	// Added and Removed are marks of an engine's cache, packed.
	Added   []byte         `json:"added,omitempty"`
	Removed []byte         `json:"removed,omitempty"`
	Stored  []StoredUpdate `json:"stored,omitempty"`
	Freed   []prompt.Key   `json:"freed,omitempty"`
}

// StoredUpdate is an object in a store and the marks it covers.
type StoredUpdate struct {
	Object prompt.Object      `json:"object"`
	Marks  prompt.PackedMarks `json:"marks"`
}

// SinceRequest asks for the configuration changes after a version.
type SinceRequest struct {
	Version uint64 `json:"version"`
}

// LeavingNews has the VMs that the platform's list marks as leaving.
type LeavingNews struct {
	Leaving []netip.AddrPort `json:"leaving"`
}

// MembersAnswer is a node's full membership view, sent to a node that joins.
type MembersAnswer struct {
	LeavingNews

	Members []control.Member `json:"members"`
}

// LogLevelRequest changes the log level of a running process.
type LogLevelRequest struct {
	Level string `json:"level"`
}
