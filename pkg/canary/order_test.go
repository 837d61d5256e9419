package canary

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/drumpath/drumpath/pkg/history"
	"github.com/drumpath/drumpath/pkg/site"
)

// An order that the store had again in a new era counted as a new one, and a version that was rolled back got
// requests again.
func TestOrderOfAnotherEra(t *testing.T) {
	order := func(version string, era history.Era, v int64) *site.RolloutOrder {
		return &site.RolloutOrder{Service: "s", Version: version, Duration: time.Minute, Position: history.Position{Era: era, Version: v}}
	}
	known, removed := order("v2", 1, 50), order("", 1, 50)
	for _, c := range []struct {
		name        string
		known, read *site.RolloutOrder
		settled     bool
		want        OrderChange
	}{
		{"the same row", known, order("v2", 1, 50), true, OrderUnchanged},
		{"an answer of an earlier era", order("v2", 2, 3), order("v1", 1, 90), true, OrderUnchanged},
		{"another order", known, order("v3", 1, 51), true, OrderReplaced},
		{"the same order again", known, order("v2", 1, 51), true, OrderReplaced},
		{"removed", known, order("", 1, 51), true, OrderReplaced},
		{"the copy has it", known, order("v2", 2, 50), false, OrderRewritten},
		{"written again", order("v2", 2, 50), order("v2", 2, 60), false, OrderRewritten},
		{"heard of late", known, order("v2", 2, 70), true, OrderRewritten},
		{"the copy has an earlier one", known, order("v1", 2, 20), false, OrderUnclear},
		{"the copy has one that was removed", removed, order("v2", 2, 20), false, OrderUnclear},
		{"not written again in time", known, order("v1", 2, 20), true, OrderReplaced},
		{"ordered after the return", known, order("v3", 2, 80), false, OrderReplaced},
	} {
		assert.Equal(t, CompareOrder(c.known, c.read, c.settled, true), c.want, c.name)
	}
	// A new order at a low version waited until the era was settled.
	assert.Equal(t, CompareOrder(known, order("v3", 2, 20), false, false), OrderReplaced)
	assert.Equal(t, CompareOrder(known, order("", 2, 20), false, false), OrderReplaced)
	assert.Equal(t, CompareOrder(known, order("v2", 2, 20), false, false), OrderRewritten)
}
