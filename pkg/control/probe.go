package control

import "net/netip"

// ProbeKind is the kind of a membership message.
type ProbeKind string

// Probe kinds.
const (
	ProbePing     ProbeKind = "ping"
	ProbeAck      ProbeKind = "ack"
	ProbeIndirect ProbeKind = "ping-req"
)

// Probe is a membership message between two nodes.
type Probe struct {
	Kind ProbeKind `json:"k"`
	Seq  uint64    `json:"q"`
	From string    `json:"f"`
	// Target and TargetName are the member that an indirect probe asks to probe.
	Target     netip.AddrPort `json:"t,omitzero"`
	TargetName string         `json:"tn,omitempty"`
	// Version is the sender's configuration version.
	Version uint64 `json:"v"`
	// Bare probes and their acks carry only their sender's record, and that of a
	// suspect or dead receiver.
	Bare    bool     `json:"b,omitempty"`
	Updates []Member `json:"u,omitempty"`
}

// Packet is a probe and its destination.
type Packet struct {
	To    netip.AddrPort
	Probe Probe
}
