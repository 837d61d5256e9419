package control

import (
	"net/netip"
)

// MemberState is what is thought of a node.
type MemberState uint8

// Member states, in order of strength at the same incarnation.
const (
	MemberAlive MemberState = iota
	MemberSuspect
	MemberLeaving
	MemberDead
)

var memberStateNames = [...]string{"alive", "suspect", "leaving", "dead"}

// String names the state.
func (s MemberState) String() string { return memberStateNames[min(int(s), len(memberStateNames)-1)] }

// Member is one node as others know it. Its JSON names are short because it
// travels on probes.
type Member struct {
	Name        string         `json:"n"`
	Peer        netip.AddrPort `json:"p"`
	Entry       netip.AddrPort `json:"e"`
	DataHall    string         `json:"h"`
	Incarnation uint64         `json:"i"`
	State       MemberState    `json:"s"`
	// Link is the rate of the node's own link in Mbit/s, 0 if it is not known.
	Link float64 `json:"l,omitempty"`

	hash uint64 // Of the name, for rendezvous hashing; 0 if not worked out.
}

// Working says whether the node takes part in duties.
func (m Member) Working() bool { return m.State == MemberAlive || m.State == MemberSuspect }

// newer says whether m replaces what is known of the same node. Only a node
// itself raises its incarnation; at the same one the graver state holds.
func (m Member) newer(old Member) bool {
	if m.Incarnation != old.Incarnation {
		return m.Incarnation > old.Incarnation
	}
	return m.State > old.State
}

// minWidestLinkShare is the part of the widest link that a node's link must have for the
// node to be among the widest.
const minWidestLinkShare = 0.5

// WithWidestLinks lists the members whose links are about as wide as the widest one's.
// Duties that send much fall to these: a node with a narrow link would hold up all
// that wait for it, and its own requests.
func WithWidestLinks(members []Member) []Member {
	widest := 0.0
	for _, m := range members {
		widest = max(widest, m.Link)
	}
	var list []Member
	for _, m := range members {
		if m.Link >= minWidestLinkShare*widest {
			list = append(list, m)
		}
	}
	return list
}
