package prompt

import "time"

// Occurrence sums up the earlier requests for a prefix.
type Occurrence struct {
	Chunks int           `json:"chunks"`
	Count  int           `json:"times"`
	Since  time.Duration `json:"since_ns"` // Time since the last one.
	Gap    time.Duration `json:"gap_ns"`   // Mean time between them, 0 for fewer than two.
}

// Match is the result of looking up one chain.
type Match struct {
	// Locations has one entry for each engine or store object, with the longest
	// prefix it shares.
	Locations []CacheLocation `json:"holdings,omitempty"`
	// Occurrences are the earlier requests, longest prefix first. Only the lengths
	// at which the number of requests changes are listed.
	Occurrences []Occurrence `json:"sightings,omitempty"`
}
