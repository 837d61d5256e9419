package route

// Tally is what nodes have done with a store's link so far. Each node tells its
// own to the others, so that all see one link alike: a single node of many has too
// few fetches from a store to notice that its link has become slow.
type Tally struct {
	// Bytes are those of all moves asked for, as they take the link's time.
	Bytes int64 `json:"b,omitempty"`
	// Late counts the fetches that came later than expected, Early the others.
	Late  int64 `json:"l,omitempty"`
	Early int64 `json:"e,omitempty"`
}

// Plus is the sum of two tallies.
func (t Tally) Plus(o Tally) Tally {
	return Tally{Bytes: t.Bytes + o.Bytes, Late: t.Late + o.Late, Early: t.Early + o.Early}
}

// Since is what has been added to an older tally; what is less is left out.
func (t Tally) Since(o Tally) Tally {
	return Tally{Bytes: max(0, t.Bytes-o.Bytes), Late: max(0, t.Late-o.Late), Early: max(0, t.Early-o.Early)}
}

// Empty says whether there is nothing in the tally.
func (t Tally) Empty() bool { return t == Tally{} }
