package queue

import "container/heap"

// Item is an element of a Heap; embed Position to implement HeapPosition.
type Item[T any] interface {
	// Before reports whether the item is ordered before another.
	Before(other T) bool
	// HeapPosition returns the item's position, which the heap updates.
	HeapPosition() *Position
}

// Position is the position of an item in its heap.
type Position struct {
	index int // 1-based; 0 if the item is in no heap.
}

// HeapPosition implements Item.
func (p *Position) HeapPosition() *Position { return p }

// Queued reports whether the item is in a heap.
func (p *Position) Queued() bool { return p.index > 0 }

// Heap is a priority queue; the zero value is empty. It is not safe for concurrent use.
type Heap[T Item[T]] struct{ items itemSlice[T] }

// Len returns the number of items.
func (h *Heap[T]) Len() int { return len(h.items) }

// First returns the first item; the heap must not be empty.
func (h *Heap[T]) First() T { return h.items[0] }

// Items returns all items unordered; the caller must not modify the slice.
func (h *Heap[T]) Items() []T { return h.items }

// Push adds an item.
func (h *Heap[T]) Push(item T) { heap.Push(&h.items, item) }

// Pop removes and returns the first item; the heap must not be empty.
func (h *Heap[T]) Pop() T { return heap.Pop(&h.items).(T) }

// Remove removes an item if it is in the heap.
func (h *Heap[T]) Remove(item T) {
	if p := item.HeapPosition(); p.Queued() {
		heap.Remove(&h.items, p.index-1)
	}
}

// itemSlice adapts the items to container/heap.
type itemSlice[T Item[T]] []T

// Len implements heap.Interface.
func (s itemSlice[T]) Len() int { return len(s) }

// Less implements heap.Interface.
func (s itemSlice[T]) Less(i, j int) bool { return s[i].Before(s[j]) }

// Swap implements heap.Interface.
func (s itemSlice[T]) Swap(i, j int) {
	s[i], s[j] = s[j], s[i]
	s[i].HeapPosition().index = i + 1
	s[j].HeapPosition().index = j + 1
}

// Push implements heap.Interface.
func (s *itemSlice[T]) Push(x any) {
	item := x.(T)
	*s = append(*s, item)
	item.HeapPosition().index = len(*s)
}

// Pop implements heap.Interface.
func (s *itemSlice[T]) Pop() any {
	last := (*s)[len(*s)-1]
	last.HeapPosition().index = 0
	*s = (*s)[:len(*s)-1]
	return last
}
