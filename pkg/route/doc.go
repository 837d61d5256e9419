// Package route decides where a request runs and what kept state is moved,
// kept or recomputed for it. It does no I/O: time and randomness are passed in.
//
// Lock order: Admission.mu, Fleet.mu, Links.mu; none is held over a callback.
package route
