// Package timer runs periodic callbacks on a small pool of workers.
package timer
