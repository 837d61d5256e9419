package site

// Paths are the paths and query arguments of the requests that the platform and clients make
// to a node itself.
type Paths struct {
	Ready   string
	Resolve string
	// DataHall, Region and Host are the names of the query arguments for the client's data
	// hall and region, and for the host that it wants to reach.
	DataHall string
	Region   string
	Host     string
}
