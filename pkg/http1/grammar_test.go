package http1

import (
	"regexp"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// The grammar of RFC 9112 and RFC 9110, as far as answers have it.
const (
	grammarToken  = "[!#$%&'*+\\-.^_`|~0-9A-Za-z]+"
	grammarText   = `[\t \x21-\x7e\x80-\xff]*`
	grammarBlanks = `[ \t]*`
	grammarQuoted = `"(?:[\t \x21\x23-\x5b\x5d-\x7e\x80-\xff]|\\[\t \x21-\x7e\x80-\xff])*"`
)

var (
	grammarStatusLine = regexp.MustCompile(`^HTTP/1\.([01]) ([1-5][0-9]{2})(?: ` + grammarText + `)?\r\n`)
	grammarField      = regexp.MustCompile(`^(` + grammarToken + `):` + grammarBlanks + `(` + grammarText + `)\r\n`)
	grammarChunkLine  = regexp.MustCompile(`^([0-9A-Fa-f]+)(?:` + grammarBlanks + `;` + grammarBlanks + grammarToken +
		`(?:` + grammarBlanks + `=` + grammarBlanks + `(?:` + grammarToken + `|` + grammarQuoted + `))?)*\r\n`)
)

// latin1 turns bytes into the characters with the same numbers, as regexp reads UTF-8.
func latin1(text string) string {
	runes := make([]rune, len(text))
	for i := range len(text) {
		runes[i] = rune(text[i])
	}
	return string(runes)
}

// grammarAnswer returns the body of an answer by the grammar, as latin1; ok is false if the text, which is latin1 too,
// does not begin with one. Interim answers may come before it.
func grammarAnswer(text string) (body string, ok bool) {
	for {
		line := grammarStatusLine.FindStringSubmatch(text)
		if line == nil {
			return "", false
		}
		fields, rest, ok := grammarFields(text[len(line[0]):])
		if !ok {
			return "", false
		}
		switch status := line[2]; {
		case status == "101":
			return "", false
		case status < "200":
			text = rest
			continue
		case status == "204", status == "304":
			return "", true
		}
		return grammarBody(fields, rest)
	}
}

func grammarFields(text string) (fields map[string]string, rest string, ok bool) {
	fields = map[string]string{}
	for {
		if rest, ended := strings.CutPrefix(text, "\r\n"); ended {
			return fields, rest, true
		}
		f := grammarField.FindStringSubmatch(text)
		if f == nil {
			return nil, "", false
		}
		fields[strings.ToLower(f[1])] = strings.Trim(f[2], " \t")
		text = text[len(f[0]):]
	}
}

func grammarBody(fields map[string]string, text string) (body string, ok bool) {
	if coding, has := fields["transfer-encoding"]; has {
		return grammarChunks(coding, text)
	}
	length, has := fields["content-length"]
	if !has {
		return text, true
	}
	n, err := strconv.ParseUint(length, 10, 31)
	if err != nil || int(n) > len([]rune(text)) {
		return "", false
	}
	return string([]rune(text)[:n]), true
}

func grammarChunks(coding, text string) (body string, ok bool) {
	if !strings.EqualFold(coding, "chunked") {
		return "", false
	}
	for {
		line := grammarChunkLine.FindStringSubmatch(text)
		if line == nil {
			return "", false
		}
		text = text[len(line[0]):]
		n, err := strconv.ParseUint(line[1], 16, 31)
		if err != nil {
			return "", false
		}
		if n == 0 {
			_, _, ok = grammarFields(text)
			return body, ok
		}
		data := []rune(text)
		if int(n) > len(data) {
			return "", false
		}
		body += string(data[:n])
		if text, ok = strings.CutPrefix(string(data[n:]), "\r\n"); !ok {
			return "", false
		}
	}
}

// readAnswer reads an answer with what may precede it.
func readAnswer(text string) (body string, err error) {
	r := reader(text)
	for {
		h, err := ReadResponse(r, testLimit)
		if err != nil {
			return "", err
		}
		if h.Status < 200 {
			continue
		}
		b, err := ResponseBody(h, "GET", r)
		if err != nil {
			return "", err
		}
		all, err := ReadAll(b, testLimit)
		return string(all), err
	}
}

// checkGrammar checks that what is read as an answer is one by the grammar, with the same body.
func checkGrammar(t *testing.T, text string) {
	t.Helper()
	body, err := readAnswer(text)
	if err != nil {
		return
	}
	want, ok := grammarAnswer(latin1(text))
	assert.Assert(t, ok, "%q is no answer, but was read as one with the body %q", text, body)
	assert.Equal(t, latin1(body), want, "%q", text)
}

var grammarAnswers = map[string]string{
	"length":      "HTTP/1.1 200 OK\r\nServer-Stamp: s 1\r\nContent-Length: 3\r\n\r\nabc",
	"chunks":      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2;a=b ; c=\"d\\\"e\"\r\nab\r\n1;x\r\nc\r\n0\r\nT: x\r\n\r\n",
	"until close": "HTTP/1.0 200 Any text\r\nX: \t y z \r\n\r\nabc",
	"interim":     "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc",
	"no reason":   "HTTP/1.1 200\r\nContent-Length: 3\r\n\r\nabc",
}

// Answers were passed on whose reason held control bytes, whose status was none, or which had a malformed chunk line or
// trailer. Here each byte of an answer is replaced by each other one, doubled, or left out.
func TestAnswersWithOneMalformedByteAreNotRead(t *testing.T) {
	for name, answer := range grammarAnswers {
		t.Run(name, func(t *testing.T) {
			body, err := readAnswer(answer)
			assert.NilError(t, err)
			assert.Equal(t, body, "abc")
			for i := range len(answer) {
				for c := range 256 {
					checkGrammar(t, answer[:i]+string([]byte{byte(c)})+answer[i+1:])
					checkGrammar(t, answer[:i]+string([]byte{byte(c)})+answer[i:])
				}
				checkGrammar(t, answer[:i]+answer[i+1:])
			}
		})
	}
}

// The answers that were passed on before are refused.
func TestMalformedAnswersAreRefused(t *testing.T) {
	const chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	for name, text := range map[string]string{
		"blank line before":       "\r\nHTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na",
		"control byte in reason":  "HTTP/1.1 200 O\x00K\r\nContent-Length: 1\r\n\r\na",
		"status over 599":         "HTTP/1.1 600 OK\r\nContent-Length: 1\r\n\r\na",
		"status with a sign":      "HTTP/1.1 +20 OK\r\nContent-Length: 1\r\n\r\na",
		"status 000":              "HTTP/1.1 000 OK\r\nContent-Length: 1\r\n\r\na",
		"other protocol":          "HTTP/1.1 101 Switching Protocols\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na",
		"blank in a field's name": "HTTP/1.1 200 OK\r\nA b: c\r\nContent-Length: 1\r\n\r\na",
		"control byte in a name":  "HTTP/1.1 200 OK\r\nA\x01b: c\r\nContent-Length: 1\r\n\r\na",
		"control byte in a value": "HTTP/1.1 200 OK\r\nA: c\x01\r\nContent-Length: 1\r\n\r\na",
		"field in several lines":  "HTTP/1.1 200 OK\r\nA: b\r\n c\r\nContent-Length: 1\r\n\r\na",
		"interim answer":          "HTTP/1.1 103 \x01\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na",
		"blank after chunk size":  chunked + "1 \r\na\r\n0\r\n\r\n",
		"control byte in chunk":   chunked + "1;\x01\r\na\r\n0\r\n\r\n",
		"chunk extension":         chunked + "1;a=\r\na\r\n0\r\n\r\n",
		"open quote":              chunked + "1;a=\"b\r\na\r\n0\r\n\r\n",
		"trailer without colon":   chunked + "1\r\na\r\n0\r\nT\r\n\r\n",
		"control byte in trailer": chunked + "1\r\na\r\n0\r\nT: \x01\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			_, err := readAnswer(text)
			assert.ErrorIs(t, err, ErrMalformed)
		})
	}
}

// What is read as an answer must be one by the grammar.
func FuzzAnswerGrammar(f *testing.F) {
	for _, answer := range grammarAnswers {
		f.Add(answer)
	}
	f.Fuzz(checkGrammar)
}
