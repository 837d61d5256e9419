package http1

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"strings"
)

// ReadRequest reads the head of a request of at most limit bytes. It returns
// io.EOF if the connection ended before the first byte.
func ReadRequest(r *bufio.Reader, limit int) (*Head, error) {
	line, remaining, err := readStartLine(r, limit)
	if err != nil {
		return nil, err
	}
	method, after, ok1 := strings.Cut(line, " ")
	target, proto, ok2 := strings.Cut(after, " ")
	if !ok1 || !ok2 || !isToken(method) || !isTarget(target) {
		return nil, ErrMalformed
	}
	h := &Head{Method: method, Target: target}
	if h.Minor, err = minorVersion(proto); err != nil {
		return nil, err
	}
	h.Fields, err = readFields(r, remaining)
	return h, err
}

// ReadResponse reads the head of a response of at most limit bytes.
func ReadResponse(r *bufio.Reader, limit int) (*Head, error) {
	line, err := readLine(r, limit)
	if err != nil {
		return nil, err
	}
	// The space before the reason is left out by some senders that have none.
	proto, after, ok := strings.Cut(line, " ")
	code, reason, _ := strings.Cut(after, " ")
	if !ok || !isValue(reason) {
		return nil, ErrMalformed
	}
	h := &Head{Reason: reason}
	if h.Minor, err = minorVersion(proto); err != nil {
		return nil, err
	}
	if h.Status, err = parseStatus(code); err != nil {
		return nil, err
	}
	h.Fields, err = readFields(r, limit-len(line))
	return h, err
}

const (
	statusDigits = 3
	minStatus    = 100
	maxStatus    = 599
)

// parseStatus returns a status code of a response. No request asks to switch protocols.
func parseStatus(code string) (int, error) {
	n, ok := parseLength(code)
	if !ok || len(code) != statusDigits || n < minStatus || n > maxStatus || n == http.StatusSwitchingProtocols {
		return 0, ErrMalformed
	}
	return int(n), nil
}

// readStartLine reads the first line of a request. It skips one empty line before it, as some
// senders put one after a body (RFC 9112, 2.2).
func readStartLine(r *bufio.Reader, limit int) (line string, remaining int, err error) {
	for range 2 {
		line, err = readLine(r, limit)
		if err != nil || line != "" {
			return line, limit - len(line), err
		}
	}
	return "", 0, ErrMalformed
}

// readLine reads one line of at most limit bytes; a line must end with CR LF.
func readLine(r *bufio.Reader, limit int) (string, error) {
	var partial []byte
	for {
		part, err := r.ReadSlice('\n')
		if len(partial)+len(part) > limit {
			return "", ErrHeadTooLarge
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			partial = append(partial, part...)
			continue
		}
		if err != nil {
			if err == io.EOF && len(partial)+len(part) > 0 {
				err = io.ErrUnexpectedEOF
			}
			return "", err
		}
		if partial != nil {
			part = append(partial, part...)
		}
		text, ok := bytes.CutSuffix(part, []byte("\r\n"))
		if !ok || bytes.IndexByte(text, '\r') >= 0 {
			return "", ErrMalformed
		}
		return string(text), nil
	}
}

func minorVersion(proto string) (int, error) {
	switch proto {
	case "HTTP/1.1":
		return 1, nil
	case "HTTP/1.0":
		return 0, nil
	default:
		return 0, ErrMalformed
	}
}

// maxFields bounds the number of fields of a head: short ones take up many times their bytes.
const maxFields = 1000

func readFields(r *bufio.Reader, limit int) ([]Field, error) {
	var list []Field
	for {
		line, err := readLine(r, limit)
		if err == io.EOF {
			err = io.ErrUnexpectedEOF
		}
		if err != nil {
			return nil, err
		}
		limit -= len(line)
		if line == "" {
			return list, nil
		}
		f, ok := parseField(line)
		if !ok {
			return nil, ErrMalformed
		}
		if len(list) == maxFields {
			return nil, ErrHeadTooLarge
		}
		list = append(list, f)
	}
}

func parseField(line string) (f Field, ok bool) {
	name, value, ok := strings.Cut(line, ":")
	value = strings.Trim(value, " \t")
	return Field{Name: name, Value: value}, ok && isToken(name) && isValue(value)
}

func isToken(s string) bool {
	for i := range len(s) {
		c := s[i]
		letter := 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || '0' <= c && c <= '9'
		if !letter && strings.IndexByte("!#$%&'*+-.^_`|~", c) < 0 {
			return false
		}
	}
	return s != ""
}

func isTarget(s string) bool {
	for i := range len(s) {
		if s[i] <= ' ' || s[i] == 0x7f {
			return false
		}
	}
	return strings.HasPrefix(s, "/")
}

func isValue(s string) bool {
	for i := range len(s) {
		if c := s[i]; c < ' ' && c != '\t' || c == 0x7f {
			return false
		}
	}
	return true
}
