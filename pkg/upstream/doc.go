// Package upstream has the clients of the back ends: model engines, stores of
// kept state and plain services, and the messages they exchange.
package upstream
