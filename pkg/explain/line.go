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
	// Node is whose line it is, "" if the input does not say.
	Node string
	// Values are the line's other values, as they stand there.
	Values map[string]json.RawMessage
	seq    int
}

// parseLine reads a line of JSON, which may stand behind other text: a log
// shipper's time and the name of the machine, say. ok is false if there is none.
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

// Text returns a value as text, "" if there is none.
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

// Int returns a whole number, 0 if there is none.
func (l *Line) Int(key string) int64 {
	var n int64
	if json.Unmarshal(l.Values[key], &n) != nil {
		return 0
	}
	return n
}

// Duration returns a value in nanoseconds.
func (l *Line) Duration(key string) time.Duration { return time.Duration(l.Int(key)) }
