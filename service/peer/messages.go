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
	// methodComing tells a caller that a large answer is being made.
	methodComing     = "coming"
	errUnauthorised  = -32001
	errUnknownMethod = -32601
	errInternal      = -32603
)

// Role is who a connection speaks for.
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

// ObserveRequest looks a chain up in a directory shard and records the
// sighting.
type ObserveRequest struct {
	Marks prompt.PackedMarks `json:"marks"`
}

// UpdateRequest brings a directory shard news of one upstream.
type UpdateRequest struct {
	Upstream string `json:"upstream"`
	// Reset drops all that the shard knew of the upstream first.
	Reset bool `json:"reset,omitempty"`
	// Added and Removed are marks of an engine's cache, packed.
	Added   []byte         `json:"added,omitempty"`
	Removed []byte         `json:"removed,omitempty"`
	Stored  []StoredUpdate `json:"stored,omitempty"`
	Freed   []prompt.Key   `json:"freed,omitempty"`
}

// StoredUpdate is an object of a store and the marks it covers.
type StoredUpdate struct {
	Object prompt.Object      `json:"object"`
	Marks  prompt.PackedMarks `json:"marks"`
}

// SinceRequest asks for what is newer than a configuration version.
type SinceRequest struct {
	Version uint64 `json:"version"`
}

// LeavingNews says which VMs are leaving by the platform's list.
type LeavingNews struct {
	Leaving []netip.AddrPort `json:"leaving"`
}

// MembersAnswer is a node's whole view of the fleet, for one that joins.
type MembersAnswer struct {
	LeavingNews

	Members []control.Member `json:"members"`
}

// LogLevelRequest changes the log level of a running process.
type LogLevelRequest struct {
	Level string `json:"level"`
}
