package onplatform_test

import (
	"bytes"
	"fmt"
	"net"
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A node took memory for the whole length that a body names as soon as it had read the head:
// some hundred clients that sent large bodies slowly ended a node of 184 MB.
func TestSlowLargeBodiesDoNotTakeUpTheNodesMemory(t *testing.T) {
	const clients, bodySize, memoryMB = 200, 4 << 20, 184
	s := newSite(t)
	s.limits["max_body_bytes"] = 2 * bodySize
	s.configure()
	s.startReplica(appService, "a")
	settings := s.settings("n")
	settings.Limits.MemoryMB = memoryMB
	n := s.startNodeWith(settings)
	s.waitUntil("ready", n.isReady)
	used := heapInUse()
	head := func(i int) string {
		return fmt.Sprintf("POST /once/x HTTP/1.1\r\nHost: %s\r\nRequest-Id: slow-%d\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n", host, i, key, bodySize)
	}
	var conns []net.Conn
	for i := range clients {
		conn, err := net.Dial("tcp", n.entry)
		assert.NilError(t, err)
		t.Cleanup(func() { _ = conn.Close() })
		_, err = conn.Write(append([]byte(head(i)), bytes.Repeat([]byte("x"), 1024)...))
		assert.NilError(t, err)
		conns = append(conns, conn)
	}
	time.Sleep(500 * time.Millisecond)
	grown := heapInUse() - used
	t.Logf("%d MB for %d clients that have begun to send %d MB each", grown>>20, clients, bodySize>>20)
	assert.Assert(t, grown < memoryMB<<20/2, "%d MB", grown>>20)

	// Another organisation's large request is served meanwhile, and small ones of any.
	other := fmt.Sprintf("POST /once/x HTTP/1.1\r\nHost: %s\r\nRequest-Id: other\r\nAuthorization: Bearer key-two\r\nContent-Length: %d\r\n\r\n", host, bodySize)
	assert.Equal(t, n.send(other+string(bytes.Repeat([]byte("y"), bodySize))).status, 200)
	assert.Equal(t, n.send(request("POST", "/once/x", "small")).status, 200)

	// Those that can't be read are told to come back; none has run.
	refused := 0
	for _, conn := range conns {
		assert.NilError(t, conn.SetReadDeadline(time.Now().Add(3*time.Second)))
		buf := make([]byte, 512)
		size, err := conn.Read(buf)
		if err == nil && bytes.Contains(buf[:size], []byte(" 503 ")) && bytes.Contains(buf[:size], []byte("Retry-After")) {
			refused++
		}
		_ = conn.Close()
	}
	assert.Assert(t, refused >= clients-20, "%d of %d", refused, clients)
	s.waitUntil("the memory is free again", func() bool {
		return n.send(request("POST", "/once/x", string(bytes.Repeat([]byte("z"), bodySize)))).status == 200
	})
}

func heapInUse() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
