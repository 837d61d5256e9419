package site

// Paths are the paths and query arguments of the questions that the platform and callers
// ask a node.
type Paths struct {
	Ready   string
	Resolve string
	// DataHall, Region and Host are the names of the query arguments for the caller's data
	// hall and region, and for the host that it wants to reach.
	DataHall string
	Region   string
	Host     string
}
