package explain

import (
	"bytes"
	"encoding/json"
	"time"
)

// Line is one log line.
type Line struct {
	Time time.Time
	Msg  string
	// Node is the node that logged the line, "" if the input does not say.
	Node string
	// Values are all attributes of the line, as raw JSON.
	Values map[string]json.RawMessage
	seq    int
}

// parseLine parses a JSON line, which may have a prefix such as a log shipper's
// timestamp and host name; the prefix's last word is taken as the node. ok is false
// if the text has no valid line.
func parseLine(text []byte) (l Line, ok bool) {
	start := bytes.IndexByte(text, '{')
	if start < 0 {
		return l, false
	}
	if err := json.Unmarshal(text[start:], &l.Values); err != nil {
		return l, false
	}
	if json.Unmarshal(l.Values["time"], &l.Time) != nil || json.Unmarshal(l.Values["msg"], &l.Msg) != nil {
		return l, false
	}
	if words := bytes.Fields(text[:start]); len(words) > 0 {
		l.Node = string(words[len(words)-1])
	}
	return l, true
}

// Text returns an attribute as text, "" if the line has none of this key.
func (l *Line) Text(key string) string {
	raw, ok := l.Values[key]
	if !ok {
		return ""
	}
	var s string
	if json.Unmarshal(raw, &s) == nil {
		return s
	}
	return string(raw)
}

// Int returns an integer attribute, 0 if there is none.
func (l *Line) Int(key string) int64 {
	var n int64
	if json.Unmarshal(l.Values[key], &n) != nil {
		return 0
	}
	return n
}

// Duration returns an attribute that is given in nanoseconds.
func (l *Line) Duration(key string) time.Duration { return time.Duration(l.Int(key)) }
