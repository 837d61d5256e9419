package history_test

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/drumpath/drumpath/pkg/history"
)

// Nodes hear of one row in any order, of several eras, and late.
func TestNewestContentIsKeptInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		// The owner writes number after number. The store goes back now and then; the owner writes its newest
		// content again.
		var seen []history.State
		var rows []history.State // The states of the row in the current history, by version.
		at, number := history.Position{Era: 1}, int64(0)
		write := func() {
			at.Version++
			rows = append(rows, history.State{Position: at, Number: number})
			seen = append(seen, rows[len(rows)-1])
		}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			if len(rows) > 0 && rapid.IntRange(0, 4).Draw(t, "kind") == 0 {
				rows = rows[:rapid.IntRange(1, len(rows)).Draw(t, "copy")]
				at = history.Position{Era: at.Era + history.Era(rapid.IntRange(1, 3).Draw(t, "eras")), Version: rows[len(rows)-1].Position.Version}
				rows[len(rows)-1].Position.Era = at.Era
				seen = append(seen, rows[len(rows)-1])
				if rapid.Bool().Draw(t, "written again") {
					write()
				}
				continue
			}
			number++
			write()
		}
		var known history.State
		for _, s := range rapid.Permutation(seen).Draw(t, "order") {
			before := known.Number
			if known.IsReplacedBy(s) {
				known = s
			}
			assert.Assert(t, known.Number >= before, "went back from %d to %d", before, known.Number)
		}
		assert.Equal(t, known.Number, number)
	})
}

// Content without a number is what the latest position has.
func TestContentWithoutNumberFollowsThePosition(t *testing.T) {
	old := history.State{Position: history.Position{Era: 1, Version: 50}}
	assert.Assert(t, old.IsReplacedBy(history.State{Position: history.Position{Era: 2, Version: 10}}))
	assert.Assert(t, !old.IsReplacedBy(history.State{Position: history.Position{Era: 1, Version: 49}}))
	assert.Assert(t, old.IsReplacedBy(old))
}
