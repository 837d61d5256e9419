package site

// Paths are where the platform and callers ask a node.
type Paths struct {
	Ready   string
	Resolve string
	// DataHall, Region and Host are the query arguments with the caller's data hall and
	// region, and with the host that it asks for.
	DataHall string
	Region   string
	Host     string
}
