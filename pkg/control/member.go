package control

import (
	"net/netip"
)

// MemberState is a node's state as others see it.
type MemberState uint8

// Member states; at the same incarnation, a later one overrides an earlier one.
const (
	MemberAlive MemberState = iota
	MemberSuspect
	MemberLeaving
	MemberDead
)

var memberStateNames = [...]string{"alive", "suspect", "leaving", "dead"}

// String returns the state's name.
func (s MemberState) String() string { return memberStateNames[min(int(s), len(memberStateNames)-1)] }

// Member is a node as others know it. Its JSON names are short because probes
// carry it.
type Member struct {
	Name        string         `json:"n"`
	Peer        netip.AddrPort `json:"p"`
	Entry       netip.AddrPort `json:"e"`
	DataHall    string         `json:"h"`
	Incarnation uint64         `json:"i"`
	State       MemberState    `json:"s"`
	// Link is the bandwidth of the node's link in Mbit/s, 0 if unknown.
	Link float64 `json:"l,omitempty"`

	hash uint64 // Of the name, for rendezvous hashing; 0 if not computed yet.
}

// Working reports whether duties may be assigned to the node.
func (m Member) Working() bool { return m.State == MemberAlive || m.State == MemberSuspect }

// newer reports whether m replaces the known record of the same node. Only the
// node itself raises its incarnation; at the same one the later MemberState wins.
func (m Member) newer(old Member) bool {
	if m.Incarnation != old.Incarnation {
		return m.Incarnation > old.Incarnation
	}
	return m.State > old.State
}

// minWidestLinkShare is the fraction of the widest link's bandwidth that a node
// needs to be listed by WithWidestLinks.
const minWidestLinkShare = 0.5

// WithWidestLinks returns the members whose links have at least
// minWidestLinkShare of the widest one's bandwidth. Duties that send much data
// are assigned to these: a node with a narrow link would delay every receiver
// and its own requests.
func WithWidestLinks(members []Member) []Member {
	return withLinks(members, minWidestLinkShare*widestLink(members))
}

func widestLink(members []Member) (widest float64) {
	for i := range members {
		widest = max(widest, members[i].Link)
	}
	return widest
}

// withLinks returns the members whose links have at least a bandwidth.
func withLinks(members []Member, atLeast float64) (list []Member) {
	for i := range members {
		if members[i].Link >= atLeast {
			list = append(list, members[i])
		}
	}
	return list
}
