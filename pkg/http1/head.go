package http1

import (
	"strings"
)

// Field is one header line.
type Field struct {
	Name  string
	Value string
}

// Head is the head of a request or of a response.
type Head struct {
	// Method and Target are set for requests; Target is not normalized.
	Method string
	Target string
	// Status and Reason are set for responses.
	Status int
	Reason string
	// Minor is the minor version of HTTP/1: 0 or 1.
	Minor int
	// Fields are the header lines in the order received.
	Fields []Field
}

// Get returns the first value of a header, "" if there is none.
func (h *Head) Get(name string) string {
	for i := range h.Fields {
		if strings.EqualFold(h.Fields[i].Name, name) {
			return h.Fields[i].Value
		}
	}
	return ""
}

// Has reports whether a header is present.
func (h *Head) Has(name string) bool {
	for i := range h.Fields {
		if strings.EqualFold(h.Fields[i].Name, name) {
			return true
		}
	}
	return false
}

// Add appends a header line.
func (h *Head) Add(name, value string) {
	h.Fields = append(h.Fields, Field{Name: name, Value: value})
}

// Path returns the target without its query.
func (h *Head) Path() string {
	path, _, _ := strings.Cut(h.Target, "?")
	return path
}

// hopByHop are the headers that apply to one connection only (RFC 9110, 7.6.1), and
// those for the framing of the body, which the writer sets itself.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "TE", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// EndToEnd returns the header lines to forward: all but the hop-by-hop headers and
// those named by Connection.
func (h *Head) EndToEnd() []Field {
	connectionNamed := h.connectionTokens()
	list := make([]Field, 0, len(h.Fields)+extraFields)
	for _, f := range h.Fields {
		if !containsFold(hopByHop, f.Name) && !containsFold(connectionNamed, f.Name) {
			list = append(list, f)
		}
	}
	return list
}

// extraFields is spare capacity for the headers that a proxy adds.
const extraFields = 8

func (h *Head) connectionTokens() []string {
	var tokens []string
	for _, f := range h.Fields {
		if !strings.EqualFold(f.Name, "Connection") {
			continue
		}
		for token := range strings.SplitSeq(f.Value, ",") {
			tokens = append(tokens, strings.TrimSpace(token))
		}
	}
	return tokens
}

// Close reports whether the sender closes the connection after this message.
func (h *Head) Close() bool {
	tokens := h.connectionTokens()
	if h.Minor == 0 {
		return !containsFold(tokens, "keep-alive")
	}
	return containsFold(tokens, "close")
}

func containsFold(list []string, name string) bool {
	for _, s := range list {
		if strings.EqualFold(s, name) {
			return true
		}
	}
	return false
}
