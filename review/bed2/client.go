package main

import (
	"bufio"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// try is one attempt of a client.
type try struct {
	id     string
	node   *node
	status int // 0 if there was no answer.
	stamp  string
	lastID int  // Of the last whole event that the client has.
	whole  bool // The answer ended as a complete one.
	// inTouch is set if the node was in touch when it answered.
	inTouch bool
	err     error
}

// prompt is what a client asks for.
type prompt struct {
	path, key, parts string
	tokensIn, out    int
	deadline         time.Duration
}

func newID() string {
	var b [8]byte
	_, _ = rand.Read(b[:]) // It never fails.
	return hex.EncodeToString(b[:])
}

// send makes one attempt at a node, on a connection of its own, in the time that is left; after is the ID of the last event that
// the client has.
func (n *node) send(p *prompt, left time.Duration, after int) *try {
	t := &try{id: newID(), node: n, lastID: after}
	q, err := http.NewRequest(http.MethodPost, "http://"+n.entry+p.path, strings.NewReader("a prompt"))
	if err != nil {
		t.err = err
		return t
	}
	q.Host = hostName
	q.Header.Set("Request-Id", t.id)
	q.Header.Set("Authorization", "Bearer "+p.key)
	q.Header.Set("Deadline-Ms", strconv.FormatInt(left.Milliseconds(), 10))
	q.Header.Set("Model", modelName)
	q.Header.Set("Token-Usage", strconv.Itoa(p.tokensIn)+","+strconv.Itoa(p.out))
	q.Header.Set("Prefix-Hash", p.parts)
	if after > 0 {
		q.Header.Set("Last-Event-Id", strconv.Itoa(after))
	}
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	defer transport.CloseIdleConnections()
	c := http.Client{Timeout: left, Transport: transport}
	resp, err := c.Do(q)
	t.inTouch = n.inTouch()
	if err != nil {
		t.err = err
		return t
	}
	defer func() { _ = resp.Body.Close() }()
	t.status, t.stamp = resp.StatusCode, resp.Header.Get("Server-Stamp")
	r := bufio.NewReader(resp.Body)
	begun := 0 // The ID of an event that has begun, 0 for none.
	for {
		line, err := r.ReadString('\n')
		switch {
		case err == nil && strings.HasPrefix(line, "id: "):
			begun, _ = strconv.Atoi(strings.TrimSpace(line[len("id: "):]))
		case err == nil && line == "\n" && begun > 0:
			t.lastID, begun = begun, 0
		case errors.Is(err, io.EOF):
			t.whole = begun == 0
			return t
		case err != nil:
			t.err = err
			return t
		}
	}
}
