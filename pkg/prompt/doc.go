// Package prompt computes cache keys of prompts and has the directory of where
// their KV cache is kept.
//
// A prompt is identified by a chain of keys, one for each fixed-size chunk. The
// root of a chain is a hash of the organisation, model, weight version, adapter
// and reuse scope, so two requests that must not share cached KV state never have a
// key in common, and no separate check is needed.
package prompt
