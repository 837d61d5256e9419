// Package config holds a node's settings file and the fleet's configuration
// state: organisations, models, adapters, reuse rules, upstreams and nodes.
//
// Settings are read once at start. The state is built by applying numbered
// commands in order; agreeing on that order is the matter of pkg/control.
package config
