// Package timer holds the timer service: parts of a process subscribe a
// callback and a period, and a small pool of workers runs whatever is due.
package timer
