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
	// Target and TargetName are who an indirect probe is for.
	Target     netip.AddrPort `json:"t,omitzero"`
	TargetName string         `json:"tn,omitempty"`
	// Version is the sender's configuration version.
	Version uint64 `json:"v"`
	// Bare probes, and their answers, tell of their senders only.
	Bare    bool     `json:"b,omitempty"`
	Updates []Member `json:"u,omitempty"`
}

// Packet is a probe and where it goes.
type Packet struct {
	To    netip.AddrPort
	Probe Probe
}
