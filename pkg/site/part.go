package site

// Part is a named part of a prompt.
type Part struct {
	ID     string
	Tokens int
}
