package http1

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"
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
	line, remaining, err := readStartLine(r, limit)
	if err != nil {
		return nil, err
	}
	proto, after, ok := strings.Cut(line, " ")
	code, reason, _ := strings.Cut(after, " ")
	if !ok || len(code) != 3 {
		return nil, ErrMalformed
	}
	h := &Head{Reason: reason}
	if h.Minor, err = minorVersion(proto); err != nil {
		return nil, err
	}
	if h.Status, err = strconv.Atoi(code); err != nil || h.Status < 100 {
		return nil, ErrMalformed
	}
	h.Fields, err = readFields(r, remaining)
	return h, err
}

// readStartLine reads the first line. It skips one empty line before it, as some
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
		name, value, ok := strings.Cut(line, ":")
		if !ok || !isToken(name) {
			return nil, ErrMalformed
		}
		value = strings.Trim(value, " \t")
		if !isValue(value) {
			return nil, ErrMalformed
		}
		list = append(list, Field{Name: name, Value: value})
	}
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
