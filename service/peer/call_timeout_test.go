package peer

import (
	"context"
	"encoding/json"
	"log/slog"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// slowLink proxies connections to target at a limited rate in each direction. While paused is
// set it forwards nothing.
func slowLink(t *testing.T, target netip.AddrPort, bytesPerSecond int) (addr netip.AddrPort, paused *atomic.Bool) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	paused = &atomic.Bool{}
	const bufferSize = 8 << 10
	forward := func(from, to net.Conn) {
		defer func() { _ = to.Close() }() // Ends the connection for both sides.
		b := make([]byte, bufferSize)
		for {
			n, err := from.Read(b)
			if err != nil {
				return
			}
			time.Sleep(time.Duration(n) * time.Second / time.Duration(bytesPerSecond))
			for paused.Load() {
				time.Sleep(time.Millisecond)
			}
			if _, err := to.Write(b[:n]); err != nil {
				return
			}
		}
	}
	go func() {
		for {
			near, err := ln.Accept()
			if err != nil {
				return
			}
			far, err := net.Dial("tcp", target.String())
			if err != nil {
				_ = near.Close()
				return
			}
			go forward(near, far)
			go forward(far, near)
		}
	}()
	return ln.Addr().(*net.TCPAddr).AddrPort(), paused
}

// Guards against giving up an answer that is still arriving: a configuration of 2.5 MB on
// a link of 10 Mbit/s. The call timed out after 1.4 s and was repeated, and the sender
// closed the connection, with all other calls on it, when its write took more than 2 s.
func TestLargeAnswerOverSlowLinkIsNotGivenUp(t *testing.T) {
	const (
		startTimeout = 400 * time.Millisecond
		size         = 400 << 10 // Takes eight times startTimeout.
		rate         = 150 << 10
	)
	server, err := NewServer(netip.MustParseAddrPort("127.0.0.1:0"), map[Role]string{RolePeer: "key"}, slog.New(slog.DiscardHandler))
	assert.NilError(t, err)
	server.Handle(RolePeer, "large", func(context.Context, json.RawMessage) (any, error) { return make([]byte, size), nil })
	server.Handle(RolePeer, "never", func(ctx context.Context, _ json.RawMessage) (any, error) { <-ctx.Done(); return nil, ctx.Err() })
	server.Start()
	defer server.Close()
	addr, paused := slowLink(t, server.Addr(), rate)
	c := NewClient("key")
	defer c.Close()
	var got []byte
	assert.NilError(t, c.CallWithin(t.Context(), startTimeout, addr, "large", nil, &got))
	assert.Equal(t, len(got), size)

	started := time.Now()
	assert.ErrorIs(t, c.CallWithin(t.Context(), startTimeout, addr, "never", nil, nil), errSilent)
	assert.Assert(t, time.Since(started) < startTimeout+2*maxReceivePause, "an answer that does not begin is given up")

	time.AfterFunc(startTimeout, func() { paused.Store(true) })
	started = time.Now()
	assert.ErrorIs(t, c.CallWithin(t.Context(), startTimeout, addr, "large", nil, &got), errSilent)
	assert.Assert(t, time.Since(started) < startTimeout+4*maxReceivePause, "an answer that stops arriving is given up")
	paused.Store(false)
}

// Guards against giving up a large answer while the server encodes it. On an overloaded
// machine 0.34 to 0.55 s passed between the end of the handler and the first byte, more
// than the call's timeout of 0.4 s, and a repeated call was no faster.
func TestAnnouncedAnswerIsNotGivenUp(t *testing.T) {
	const startTimeout = 300 * time.Millisecond
	server, err := NewServer(netip.MustParseAddrPort("127.0.0.1:0"), map[Role]string{RolePeer: "key"}, slog.New(slog.DiscardHandler))
	assert.NilError(t, err)
	server.Handle(RolePeer, "large", func(context.Context, json.RawMessage) (any, error) {
		return make([]byte, largeAnswerSize), nil
	})
	server.Start()
	defer server.Close()
	addr, paused := slowLink(t, server.Addr(), 100<<20)
	c := NewClient("key")
	defer c.Close()
	var got []byte
	assert.NilError(t, c.CallWithin(t.Context(), startTimeout, addr, "large", nil, &got))
	for _, announced := range []bool{true, false} {
		l, err := c.connTo(t.Context(), addr)
		assert.NilError(t, err)
		paused.Store(true)
		time.AfterFunc(startTimeout+maxReceivePause/2, func() { paused.Store(false) })
		if announced {
			time.AfterFunc(startTimeout/2, func() { // As if the announcement had just arrived.
				l.timed.recordReceived()
				l.timed.recordAnnouncement()
			})
		}
		err = c.CallWithin(t.Context(), startTimeout, addr, "large", nil, &got)
		assert.Equal(t, err == nil, announced, "%v", err)
	}
}

// Guards against a timeout for a whole message: a large one takes longer than writeTimeout
// although the peer keeps reading.
func TestWriteTimeoutAppliesToEachChunk(t *testing.T) {
	near, far := net.Pipe()
	defer func() { _ = far.Close() }() // Everything has been read.
	c := newTimedConn(near)
	done := make(chan error, 1)
	go func() {
		_, err := c.Write(make([]byte, 5*writeChunk))
		done <- err
	}()
	b := make([]byte, writeChunk)
	for read := 0; read < 5*writeChunk; {
		time.Sleep(writeTimeout / 4)
		n, err := far.Read(b)
		assert.NilError(t, err)
		read += n
	}
	assert.NilError(t, <-done)
}

// slowDecoder is a value that takes long to decode. It records for how long the connection
// then seems to have received nothing.
type slowDecoder struct {
	conn    *timedConn
	silence time.Duration
}

// UnmarshalJSON implements json.Unmarshaler.
func (v *slowDecoder) UnmarshalJSON([]byte) error {
	time.Sleep(2 * maxReceivePause)
	v.silence = time.Since(v.conn.lastReceived())
	return nil
}

// Guards against giving up an answer that has arrived and is being decoded: on a busy
// machine, decoding 0.5 MB took longer than the pause allowed between its bytes.
func TestDecodingIsNotSilence(t *testing.T) {
	near, far := net.Pipe()
	defer func() { _ = far.Close() }() // Everything has been written.
	c := newTimedConn(near)
	go func() { _, _ = far.Write([]byte{2, '"', '"'}) }() // An error would fail the read.
	v := &slowDecoder{conn: c}
	assert.NilError(t, newStream(c).ReadObject(v))
	assert.Assert(t, v.silence < maxReceivePause, "%v", v.silence)
	assert.Assert(t, time.Since(c.lastReceived()) < maxReceivePause)
}

// Guards against counting any byte on a connection as part of each outstanding answer:
// while other calls on it were answered every 0.1 s, a call with a timeout of 0.3 s that
// got no answer was given up only after 5.4 s.
func TestOtherTrafficDoesNotExtendACall(t *testing.T) {
	t.Parallel()
	const (
		startTimeout = 300 * time.Millisecond
		every        = 100 * time.Millisecond // Interval of the other calls.
	)
	p, c, _ := newProxiedServer(t)
	assert.NilError(t, c.Call(t.Context(), p.Addr(), "echo", "x", nil))
	stop, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		for {
			select {
			case <-stop:
				return
			case <-time.After(every):
				assert.Check(t, c.Call(context.Background(), p.Addr(), "echo", "x", nil))
			}
		}
	}()
	started := time.Now()
	err := c.CallWithin(t.Context(), startTimeout, p.Addr(), "never", nil, nil)
	took := time.Since(started)
	close(stop)
	<-done
	t.Logf("given up after %v", took)
	assert.ErrorIs(t, err, errSilent)
	assert.Assert(t, took < startTimeout+silenceTimeout, "%v", took)
}

// Guards against giving up a large answer during a short pause: a link of 10 Mbit/s that
// carried a burst of 0.5 MB of other traffic paused for 0.4 s, and calls were given up
// after a pause of 0.3 s, although a connection counts as lost only after 0.7 s.
func TestPauseWithinAnAnswerDoesNotEndTheCall(t *testing.T) {
	t.Parallel()
	const (
		startTimeout = 600 * time.Millisecond // Long enough for the answer to begin on a busy machine.
		size         = 400 << 10              // Takes 1.1 s to transfer, as base64.
		rate         = 500 << 10
		pauseStart   = 700 * time.Millisecond // When the pause begins.
		pause        = 400 * time.Millisecond
	)
	server, err := NewServer(netip.MustParseAddrPort("127.0.0.1:0"), map[Role]string{RolePeer: "key"}, slog.New(slog.DiscardHandler))
	assert.NilError(t, err)
	server.Handle(RolePeer, "large", func(context.Context, json.RawMessage) (any, error) { return make([]byte, size), nil })
	server.Handle(RolePeer, "small", func(context.Context, json.RawMessage) (any, error) { return 1, nil })
	server.Start()
	defer server.Close()
	addr, paused := slowLink(t, server.Addr(), rate)
	c := NewClient("key")
	defer c.Close()
	assert.NilError(t, c.Call(t.Context(), addr, "small", nil, nil)) // Establishes the connection.
	time.AfterFunc(pauseStart, func() {
		paused.Store(true)
		time.Sleep(pause)
		paused.Store(false)
	})
	var got []byte
	started := time.Now()
	assert.NilError(t, c.CallWithin(t.Context(), startTimeout, addr, "large", nil, &got))
	assert.Equal(t, len(got), size)
	assert.Assert(t, time.Since(started) > pauseStart+pause, "the pause must fall into the answer")
}

// Guards against keeping the time of the last receipt on the wall clock: when the clock was
// set back during a call, the call was given up seconds late, and when it was set forward,
// at once.
func TestLastReceivedUsesTheMonotonicClock(t *testing.T) {
	near, far := net.Pipe()
	defer func() { _ = far.Close() }() // Everything has been written.
	c := newTimedConn(near)
	go func() { _, _ = far.Write([]byte("x")) }() // An error would fail the read.
	_, err := c.Read(make([]byte, 1))
	assert.NilError(t, err)
	heard := c.lastReceived()
	assert.Assert(t, heard != heard.Round(0), "Round drops the monotonic clock reading")
	assert.Assert(t, time.Since(heard) < maxReceivePause)
}
