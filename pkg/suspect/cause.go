package suspect

import "github.com/drumpath/drumpath/pkg/site"

// Kind is what replicas may end under.
type Kind uint8

// Kinds of causes.
const (
	// KindRequest is a whole request, which its client may repeat.
	KindRequest Kind = iota
	// KindPart is a part of prompts, which requests may share that are otherwise different.
	KindPart
)

// String names the kind.
func (k Kind) String() string {
	if k == KindPart {
		return "part"
	}
	return "request"
}

// methodPart takes the place of the HTTP method in the fingerprint of a part. No request has it.
const methodPart = "PROMPT PART"

// Cause is what replicas may end under: a whole request, or a part of the prompts of one service.
type Cause struct {
	Kind        Kind
	Fingerprint site.Fingerprint
	// QuickHash is a cheap hash of the same, the key under which finishes are remembered.
	QuickHash uint64
	// Service and Part name a part, by the ID that its callers give it; both are empty for a request.
	Service, Part string
}

// RequestCause returns the cause that is a whole request.
func RequestCause(content site.Fingerprint, quickHash uint64) Cause {
	return Cause{Fingerprint: content, QuickHash: quickHash}
}

// PartCause returns the cause that is a part of the prompts of a service. It is the same for all organisations: what a
// part does to a replica does not depend on who sends it.
func PartCause(service, part string) Cause {
	return Cause{
		Kind:        KindPart,
		Fingerprint: site.NewFingerprint(service, methodPart, "", part, nil),
		QuickHash:   PartHash(service, part),
		Service:     service,
		Part:        part,
	}
}

// PartHash is the QuickHash of a part.
func PartHash(service, part string) uint64 { return QuickHash(service, methodPart, "", part, nil) }
