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
	events int  // Whole ones.
	whole  bool // The answer ended as a complete one.
	err    error
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

// send makes one attempt at a node, on a connection of its own.
func (n *node) send(p *prompt) *try {
	t := &try{id: newID(), node: n}
	q, err := http.NewRequest(http.MethodPost, "http://"+n.entry+p.path, strings.NewReader("a prompt"))
	if err != nil {
		t.err = err
		return t
	}
	q.Host = hostName
	q.Header.Set("Request-Id", t.id)
	q.Header.Set("Authorization", "Bearer "+p.key)
	q.Header.Set("Deadline-Ms", strconv.FormatInt(p.deadline.Milliseconds(), 10))
	q.Header.Set("Model", modelName)
	q.Header.Set("Token-Usage", strconv.Itoa(p.tokensIn)+","+strconv.Itoa(p.out))
	q.Header.Set("Prefix-Hash", p.parts)
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	defer transport.CloseIdleConnections()
	c := http.Client{Timeout: p.deadline, Transport: transport}
	resp, err := c.Do(q)
	if err != nil {
		t.err = err
		return t
	}
	defer func() { _ = resp.Body.Close() }()
	t.status, t.stamp = resp.StatusCode, resp.Header.Get("Server-Stamp")
	r := bufio.NewReader(resp.Body)
	begun := false // An event has begun.
	for {
		line, err := r.ReadString('\n')
		switch {
		case err == nil && strings.HasPrefix(line, "id: "):
			begun = true
		case err == nil && line == "\n" && begun:
			t.events, begun = t.events+1, false
		case errors.Is(err, io.EOF):
			t.whole = !begun
			return t
		case err != nil:
			t.err = err
			return t
		}
	}
}
