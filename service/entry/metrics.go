package entry

import "expvar"

// Metrics are the counters of the HTTP interface. The node publishes them under
// "entry".
type Metrics struct {
	Requests        expvar.Int
	Answered        expvar.Int
	Refused         expvar.Int
	Failed          expvar.Int
	Cut             expvar.Int
	ClientsGone     expvar.Int
	Retries         expvar.Int
	Resumed         expvar.Int
	Mismatched      expvar.Int
	Replayed        expvar.Int
	PromptTokens    expvar.Int
	CachedTokens    expvar.Int
	Imports         expvar.Int
	ImportsShared   expvar.Int
	ImportsFailed   expvar.Int
	ImportedTokens  expvar.Int
	Exports         expvar.Int
	ExportsFailed   expvar.Int
	ExportedTokens  expvar.Int
	FirstTokenMicro expvar.Int // Sum, in microseconds.
}

// Map returns the counters by name.
func (m *Metrics) Map() *expvar.Map {
	v := new(expvar.Map).Init()
	v.Set("requests", &m.Requests)
	v.Set("answered", &m.Answered)
	v.Set("refused", &m.Refused)
	v.Set("failed", &m.Failed)
	v.Set("cut", &m.Cut)
	v.Set("callers_gone", &m.ClientsGone)
	v.Set("retries", &m.Retries)
	v.Set("resumed", &m.Resumed)
	v.Set("crossed", &m.Mismatched)
	v.Set("replayed", &m.Replayed)
	v.Set("prompt_tokens", &m.PromptTokens)
	v.Set("cached_tokens", &m.CachedTokens)
	v.Set("imports", &m.Imports)
	v.Set("imports_shared", &m.ImportsShared)
	v.Set("imports_failed", &m.ImportsFailed)
	v.Set("imported_tokens", &m.ImportedTokens)
	v.Set("exports", &m.Exports)
	v.Set("exports_failed", &m.ExportsFailed)
	v.Set("exported_tokens", &m.ExportedTokens)
	v.Set("first_token_us", &m.FirstTokenMicro)
	return v
}
