package onplatform

import (
	"fmt"
	"math/rand/v2"
)

// Configuration is the configuration that an operator writes under "config" for a
// site with many routes.
type Configuration struct {
	Version  int64          `json:"config_version"`
	Routes   []Route        `json:"routes"`
	Services []Service      `json:"services"`
	Limits   map[string]int `json:"limits"`
}

// Route is one route of a Configuration.
type Route struct {
	Name        string  `json:"name"`
	Host        string  `json:"host"`
	Prefix      string  `json:"path_prefix"`
	Kind        string  `json:"kind"`
	Timeout     int     `json:"timeout_ms"`
	Target      int     `json:"target_latency_ms"`
	Priority    int     `json:"priority"`
	Service     string  `json:"service"`
	Split       []Share `json:"traffic_split"`
	MaxAttempts int     `json:"max_attempts"`
	Sticky      bool    `json:"sticky"`
	Resumable   bool    `json:"resumable"`
}

// Share is the share of a Route's traffic that a service gets.
type Share struct {
	Service string `json:"service"`
	Weight  int    `json:"weight"`
}

// Service is one service of a Configuration.
type Service struct {
	Name       string `json:"name"`
	HealthPath string `json:"health_path"`
	MaxConns   int    `json:"max_conns"`
}

// serviceCount is how many services the routes of a Configuration share.
const serviceCount = 12

// NewConfiguration returns a pseudo-random configuration with the given numbers of
// routes and hosts. A larger number of routes only adds routes to the same first ones.
func NewConfiguration(version int64, routes, hosts int) Configuration {
	r := rand.New(rand.NewPCG(1, 2))
	c := Configuration{
		Version: version,
		Limits:  map[string]int{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
	for range serviceCount {
		c.Services = append(c.Services, Service{Name: randomName(r), HealthPath: "/healthz", MaxConns: 360})
	}
	names := make([]string, hosts)
	for i := range names {
		names[i] = randomName(r) + ".example"
	}
	for range routes {
		c.Routes = append(c.Routes, c.randomRoute(r, names[r.IntN(hosts)]))
	}
	return c
}

func (c *Configuration) randomRoute(r *rand.Rand, host string) Route {
	service := func() string { return c.Services[r.IntN(len(c.Services))].Name }
	kinds := []string{"idempotent", "non_idempotent", "streaming"}
	weight := 50 + r.IntN(50)
	return Route{
		Name:        randomName(r),
		Host:        host,
		Prefix:      "/" + randomName(r) + "/" + randomName(r) + "/",
		Kind:        kinds[r.IntN(len(kinds))],
		Timeout:     1000 + 500*r.IntN(20),
		Target:      100 + 50*r.IntN(20),
		Priority:    r.IntN(4),
		Service:     service(),
		Split:       []Share{{Service: service(), Weight: weight}, {Service: service(), Weight: 100 - weight}},
		MaxAttempts: 1 + r.IntN(3),
		Sticky:      r.IntN(2) == 0,
	}
}

// randomName returns a random name of two syllables and five hex digits, like the platform's names.
func randomName(r *rand.Rand) string {
	const consonants, vowels = "bcdfghjklmnpqrstvwxyz", "aeiou"
	syllable := func() string {
		return string([]byte{consonants[r.IntN(len(consonants))], vowels[r.IntN(len(vowels))]})
	}
	return fmt.Sprintf("%s%s%05x", syllable(), syllable(), r.IntN(1<<20))
}
