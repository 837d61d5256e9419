// Package upstream has the clients of the back ends (model engines, KV cache
// stores and plain services) and the messages they exchange.
package upstream
