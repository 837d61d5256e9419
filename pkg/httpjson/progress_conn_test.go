package httpjson

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// An answer of 2 MB takes 1.6 s over a link of 10 Mbit/s. With a limit of 1.5 s for the
// whole call it timed out and was started again and again, although bytes kept arriving.
func TestSlowAnswerIsReadToItsEndWhileBytesArrive(t *testing.T) {
	const limit = 100 * time.Millisecond
	pause := make(chan time.Duration, 1)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		d := <-pause
		_, _ = w.Write([]byte(`"`)) // The client may have disconnected.
		for range 6 {
			w.(http.Flusher).Flush()
			select {
			case <-r.Context().Done():
				return
			case <-time.After(d):
			}
			_, _ = w.Write([]byte(strings.Repeat("x", 1000)))
		}
		_, _ = w.Write([]byte(`"`))
	}))
	defer server.Close()
	c := NewClient(netip.MustParseAddrPort(server.Listener.Addr().String()))
	defer c.Close()
	call := func() (got string, err error) {
		ctx, cancel := context.WithTimeout(t.Context(), limit)
		defer cancel()
		err = c.Call(ctx, http.MethodGet, "/", nil, &got)
		return got, err
	}
	pause <- limit / 2 // Three times the limit in total.
	got, err := call()
	assert.NilError(t, err)
	assert.Equal(t, len(got), 6000)
	pause <- 2 * maxReadPause
	start := time.Now()
	_, err = call()
	assert.ErrorContains(t, err, "timeout")
	assert.Assert(t, time.Since(start) < 2*maxReadPause, "a call must end after a long pause within its answer")
}

func TestAnswerThatDoesNotStartByTheDeadlineTimesOut(t *testing.T) {
	end := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-end }))
	defer server.Close()
	defer close(end)
	c := NewClient(netip.MustParseAddrPort(server.Listener.Addr().String()))
	defer c.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	start := time.Now()
	assert.ErrorContains(t, c.Call(ctx, http.MethodGet, "/", nil, nil), "timeout")
	assert.Assert(t, time.Since(start) < maxReadPause)
}
