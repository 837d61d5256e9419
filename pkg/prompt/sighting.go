package prompt

import "time"

// Sighting is what is known of earlier requests for a prefix.
type Sighting struct {
	Chunks int           `json:"chunks"`
	Times  int           `json:"times"`
	Since  time.Duration `json:"since_ns"` // Since the last one.
	Gap    time.Duration `json:"gap_ns"`   // Mean gap, 0 under two sightings.
}

// Match is the directory's answer for one chain.
type Match struct {
	// Holdings has one entry for each place, with the longest prefix it shares.
	Holdings []Holding `json:"holdings,omitempty"`
	// Sightings are the earlier sightings, longest prefix first; only the
	// lengths at which the number of sightings changes are listed.
	Sightings []Sighting `json:"sightings,omitempty"`
}
