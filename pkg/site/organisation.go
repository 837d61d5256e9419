package site

// Organisation is a customer of the site.
type Organisation struct {
	Name string
	// Priority is 0 for the most urgent requests. It takes precedence over that of
	// the route if HasPriority is set.
	Priority    int
	HasPriority bool
	// Isolated organisations share no KV cache with others.
	Isolated bool
	// Homes are as in Route; if both have some, a region has to be in both.
	Homes []string
}
