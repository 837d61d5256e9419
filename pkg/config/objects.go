package config

import (
	"net/netip"
)

// Organisation is a customer. Its prompts and KV cache are never shared with another.
type Organisation struct {
	Name string `json:"name"`
	// KeyHash is the SHA-256 of the API key, in hex; the key itself is not stored.
	KeyHash string `json:"key_hash"`
	// Share is the weight in fair queues.
	Share float64 `json:"share"`
	// Concurrency is the maximum number of concurrent requests on one node, 0 for no limit.
	Concurrency int `json:"concurrency"`
	// TokensPerSecond limits prompt and answer tokens on one node, 0 for no limit.
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

// ReuseMode determines which requests of an organisation may share KV cache.
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

// Rule determines which requests of an organisation may reuse each other's KV cache. A rule for
// one model overrides the organisation's rule for all models.
type Rule struct {
	Name         string    `json:"name"`
	Organisation string    `json:"organisation"`
	Model        string    `json:"model"` // Empty for every model.
	Mode         ReuseMode `json:"mode"`
}

// UpstreamKind is the kind of an upstream.
type UpstreamKind string

// Kinds of upstream.
const (
	UpstreamEngine  UpstreamKind = "engine"
	UpstreamStore   UpstreamKind = "store"
	UpstreamService UpstreamKind = "service"
)

// Upstream is a back end: a model engine, a KV cache store or a plain service.
type Upstream struct {
	Name     string         `json:"name"`
	Kind     UpstreamKind   `json:"kind"`
	Address  netip.AddrPort `json:"address"`
	DataHall string         `json:"data_hall"`
	// Model is the model that an engine serves.
	Model string `json:"model"`
	// Path is the name under which clients reach a plain service.
	Path string `json:"path"`
	// Fenced upstreams check the fence number of orders.
	Fenced  bool `json:"fenced"`
	Drained bool `json:"drained"`
}

// NodeObject is what operators configure for one node.
type NodeObject struct {
	Name    string `json:"name"`
	Drained bool   `json:"drained"`
}

// Scope returns what the rule adds to the cache key of a request; the empty rule adds
// nothing.
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
