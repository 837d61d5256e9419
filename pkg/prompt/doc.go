// Package prompt gives prompts their identity and keeps the directory of kept
// prompt state.
//
// A prompt's identity is a chain of keys, one for each fixed-size chunk. The
// root of a chain covers the organisation, model, weight version, adapter and
// reuse scope, so two requests that may not share state can never form the
// same key; there is no check afterwards that could be forgotten.
package prompt
