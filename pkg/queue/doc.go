// Package queue has a priority queue from which any item can be taken.
package queue
