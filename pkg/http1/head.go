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
	// Method and Target are those of a request; Target is as it was sent.
	Method string
	Target string
	// Status and Reason are those of a response.
	Status int
	Reason string
	// Minor is the minor version of HTTP/1: 0 or 1.
	Minor int
	// Fields are the header lines in the order in which they came.
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

// Has says whether a header is there.
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

// hopByHop are headers that concern one connection only (RFC 9110, 7.6.1), and
// those that say how a body is framed, which the writer decides anew.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "TE", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// EndToEnd returns the header lines that are passed on: all but those that
// concern one connection only or that Connection names.
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

// extraFields is room for the headers that a forwarder adds.
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

// Close says whether the sender ends the connection after this message.
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
