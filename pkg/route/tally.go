package route

// Tally counts a node's transfers over the link of a store. The nodes exchange their
// tallies so that all have the same view of a link: a single node of many fetches too
// rarely from a store to notice that its link has become slow.
type Tally struct {
	// Bytes is the size of all requested transfers, each of which occupies the link.
	Bytes int64 `json:"b,omitempty"`
	// Late counts the fetches that took longer than expected, Early the others.
	Late  int64 `json:"l,omitempty"`
	Early int64 `json:"e,omitempty"`
}

// Plus returns the sum of two tallies.
func (t Tally) Plus(o Tally) Tally {
	return Tally{Bytes: t.Bytes + o.Bytes, Late: t.Late + o.Late, Early: t.Early + o.Early}
}

// Since returns what has been added since an older tally, with negative values set to 0.
func (t Tally) Since(o Tally) Tally {
	return Tally{Bytes: max(0, t.Bytes-o.Bytes), Late: max(0, t.Late-o.Late), Early: max(0, t.Early-o.Early)}
}

// Empty reports whether the tally is zero.
func (t Tally) Empty() bool { return t == Tally{} }
