package history

// State is what is known of one row: where it was read, and the number that its content has of its own,
// such as that of a configuration. Numbers rise with each change that its owner makes, in whatever
// history the store is.
type State struct {
	Position Position
	Number   int64 // 0 if the content has none.
}

// IsReplacedBy reports whether a newly read state of the same row takes the place of a known one. In another
// era the content with the higher number is the newer one, whatever the positions: a copy of the store has
// older contents at later positions.
func (s State) IsReplacedBy(next State) bool {
	if s.Number > 0 && next.Number > 0 && s.Number != next.Number {
		return s.Number < next.Number
	}
	return !next.Position.Before(s.Position)
}
