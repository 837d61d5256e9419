// Package suspects has the nodes remember together under which requests replicas ended:
// what each has seen is told to the others, and what is blocked is kept in the platform's
// store. What follows from it package suspect decides.
package suspects
