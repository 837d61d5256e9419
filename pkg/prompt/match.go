package prompt

import "time"

// Occurrence is what is known of earlier requests for a prefix.
type Occurrence struct {
	Chunks int           `json:"chunks"`
	Count  int           `json:"times"`
	Since  time.Duration `json:"since_ns"` // Since the last one.
	Gap    time.Duration `json:"gap_ns"`   // Mean gap, 0 under two sightings.
}

// Match is the directory's answer for one chain.
type Match struct {
	// Locations has one entry for each place, with the longest prefix it shares.
	Locations []CacheLocation `json:"holdings,omitempty"`
	// Occurrences are the earlier sightings, longest prefix first; only the
	// lengths at which the number of sightings changes are listed.
	Occurrences []Occurrence `json:"sightings,omitempty"`
}
