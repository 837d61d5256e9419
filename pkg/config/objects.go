package config

import (
	"net/netip"
)

// Organisation is a customer; its prompts and kept state are never shared
// with another.
type Organisation struct {
	Name string `json:"name"`
	// KeyHash is the SHA-256 of the API key, in hex; the key is not kept.
	KeyHash string `json:"key_hash"`
	// Share is the weight in fair queues.
	Share float64 `json:"share"`
	// Concurrency is the most requests at once on one node, 0 for no limit.
	Concurrency int `json:"concurrency"`
	// TokensPerSecond limits prompt and answer tokens on one node, 0 for none.
	TokensPerSecond float64 `json:"tokens_per_second"`
}

// Model is a served model and the weight version that new requests use.
type Model struct {
	Name    string `json:"name"`
	Weights string `json:"weights"`
}

// Adapter is a fine-tuned addition to one model.
type Adapter struct {
	Name  string `json:"name"`
	Model string `json:"model"`
}

// ReuseMode says which requests of an organisation may share kept state.
type ReuseMode string

// Reuse modes.
const (
	// ReuseOrganisation lets every request of the organisation share.
	ReuseOrganisation ReuseMode = "organisation"
	// ReuseLabel lets requests with the same reuse label share.
	ReuseLabel ReuseMode = "label"
	// ReuseNever lets no request share.
	ReuseNever ReuseMode = "never"
)

// Rule says which requests may reuse which kept state; a rule for one model
// goes before the organisation's rule for all.
type Rule struct {
	Name         string    `json:"name"`
	Organisation string    `json:"organisation"`
	Model        string    `json:"model"` // Empty for every model.
	Mode         ReuseMode `json:"mode"`
}

// UpstreamKind is the kind of a back end.
type UpstreamKind string

// Kinds of upstream.
const (
	UpstreamEngine  UpstreamKind = "engine"
	UpstreamStore   UpstreamKind = "store"
	UpstreamService UpstreamKind = "service"
)

// Upstream is a back end: a model engine, a store of kept state or a plain
// service.
type Upstream struct {
	Name     string         `json:"name"`
	Kind     UpstreamKind   `json:"kind"`
	Address  netip.AddrPort `json:"address"`
	DataHall string         `json:"data_hall"`
	// Model is the model of an engine.
	Model string `json:"model"`
	// Path is the name under which callers reach a plain service.
	Path string `json:"path"`
	// Fenced says that the upstream checks the fence of orders.
	Fenced  bool `json:"fenced"`
	Drained bool `json:"drained"`
}

// NodeObject is what operators say of one node.
type NodeObject struct {
	Name    string `json:"name"`
	Drained bool   `json:"drained"`
}

// Scope returns what the rule adds to the identity of a request's state; the
// empty rule adds nothing.
func (r Rule) Scope(label, requestID string) string {
	switch r.Mode {
	case ReuseLabel:
		return "label/" + label
	case ReuseNever:
		return "request/" + requestID
	default:
		return ""
	}
}
