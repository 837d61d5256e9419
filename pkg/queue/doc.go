// Package queue implements a priority queue from which any item can be removed.
package queue
