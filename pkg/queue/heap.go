package queue

import "container/heap"

// Item is something that can wait in a Heap; embed a Position to be one.
type Item[T any] interface {
	// Before says whether the item goes before another.
	Before(other T) bool
	// At returns the item's position, which the heap keeps.
	At() *Position
}

// Position is where an item is in its heap.
type Position struct {
	index int // From 1; 0 is not in a heap.
}

// At implements part of Item.
func (p *Position) At() *Position { return p }

// Queued says whether the item is in a heap.
func (p *Position) Queued() bool { return p.index > 0 }

// Heap is a priority queue; the zero value is empty. It takes no lock.
type Heap[T Item[T]] struct{ items slice[T] }

// Len is the number of items.
func (h *Heap[T]) Len() int { return len(h.items) }

// First returns the item that goes first; there must be one.
func (h *Heap[T]) First() T { return h.items[0] }

// Items lists all items in no order; the caller must not change the list.
func (h *Heap[T]) Items() []T { return h.items }

// Push adds an item.
func (h *Heap[T]) Push(item T) { heap.Push(&h.items, item) }

// Pop takes the item that goes first; there must be one.
func (h *Heap[T]) Pop() T { return heap.Pop(&h.items).(T) }

// Remove takes an item out, if it is in the heap.
func (h *Heap[T]) Remove(item T) {
	if p := item.At(); p.Queued() {
		heap.Remove(&h.items, p.index-1)
	}
}

// slice adapts the items to container/heap.
type slice[T Item[T]] []T

// Len implements heap.Interface.
func (s slice[T]) Len() int { return len(s) }

// Less implements heap.Interface.
func (s slice[T]) Less(i, j int) bool { return s[i].Before(s[j]) }

// Swap implements heap.Interface.
func (s slice[T]) Swap(i, j int) {
	s[i], s[j] = s[j], s[i]
	s[i].At().index = i + 1
	s[j].At().index = j + 1
}

// Push implements heap.Interface.
func (s *slice[T]) Push(x any) {
	item := x.(T)
	*s = append(*s, item)
	item.At().index = len(*s)
}

// Pop implements heap.Interface.
func (s *slice[T]) Pop() any {
	last := (*s)[len(*s)-1]
	last.At().index = 0
	*s = (*s)[:len(*s)-1]
	return last
}
