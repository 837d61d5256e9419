package site

// Organisation is a customer of the site.
type Organisation struct {
	Name string
	// Priority goes before that of a route, if HasPriority.
	Priority    int
	HasPriority bool
	// Isolated organisations share no kept state with others.
	Isolated bool
	// Homes are as those of a Route; where both have some, both hold.
	Homes []string
}
