package gateway

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/drumpath/drumpath/pkg/http1"
	"github.com/drumpath/drumpath/pkg/site"
)

// readChunked has a node with the given memory read a chunked body, which its client sends in two
// halves with a pause between them.
func readChunked(t *testing.T, memory int64, limits site.Limits, size int, pause time.Duration) ([]byte, error) {
	client, server := net.Pipe()
	t.Cleanup(func() { _ = client.Close() })
	half := fmt.Sprintf("%x\r\n%s\r\n", size/2, strings.Repeat("x", size/2))
	go func() {
		_, _ = client.Write([]byte("POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n" + half)) // The reader fails if it does.
		time.Sleep(pause)
		_, _ = client.Write([]byte(half + "0\r\n\r\n"))
	}()
	c := &clientConn{g: &Gateway{siteState: &SiteState{}, bodies: newBodyBudget(memory)}, conn: server, r: bufio.NewReader(server)}
	head, err := http1.ReadRequest(c.r, limits.HeadBytes)
	assert.NilError(t, err)
	body, release, err := c.readBody(head, &site.RequestInfo{}, limits, time.Now())
	release()
	return body, err
}

// A chunked body of less than 64 kB was accepted though it exceeded the configured limit.
func TestChunkedBodyAboveASmallLimitIsRefused(t *testing.T) {
	limits := site.DefaultLimits()
	limits.BodyBytes = 10_000
	_, err := readChunked(t, 100<<20, limits, 20_000, 0)
	assert.ErrorIs(t, err, http1.ErrBodyTooLarge)
}

// A chunked body was refused if its first 64 kB took longer than a body may wait for memory, though
// there was memory, or if its limit and these exceeded what one organisation may hold.
func TestLongChunkedBodyIsReadWhereThereIsMemory(t *testing.T) {
	limits := site.DefaultLimits()
	for name, c := range map[string]struct {
		memory int64
		limit  int
		pause  time.Duration
	}{
		"slow client": {100 << 20, 1 << 20, maxBodyWait + 200*time.Millisecond},
		"large limit": {10 << 20, 1 << 20, 0},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			limits := limits
			limits.BodyBytes = c.limit
			const size = 100_000
			body, err := readChunked(t, c.memory, limits, size, c.pause)
			assert.NilError(t, err)
			assert.Equal(t, len(body), size)
		})
	}
}
