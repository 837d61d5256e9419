package queue

import (
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

type number struct {
	Position
	n int
}

func (x *number) Before(other *number) bool { return x.n < other.n }

func TestHeapMatchesModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var h Heap[*number]
		var model []*number
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch op := rapid.IntRange(0, 2).Draw(t, "op"); {
			case op == 0:
				x := &number{n: rapid.IntRange(0, 9).Draw(t, "n")}
				h.Push(x)
				model = append(model, x)
			case op == 1 && len(model) > 0:
				got := h.Pop()
				least := slices.MinFunc(model, func(a, b *number) int { return a.n - b.n })
				assert.Equal(t, got.n, least.n)
				assert.Assert(t, !got.Queued())
				model = slices.DeleteFunc(model, func(x *number) bool { return x == got })
			case op == 2 && len(model) > 0:
				i := rapid.IntRange(0, len(model)-1).Draw(t, "which")
				h.Remove(model[i])
				h.Remove(model[i])
				model = slices.Delete(model, i, i+1)
			}
			assert.Equal(t, h.Len(), len(model))
		}
	})
}
