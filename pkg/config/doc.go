// Package config holds a node's settings file and the fleet's configuration
// state: organisations, models, adapters, reuse rules, upstreams and nodes.
//
// Settings are read at start. The state is built by applying numbered commands in order;
// package control makes the nodes agree on that order.
package config
