package gateway

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"sync/atomic"
	"time"

	"github.com/drumpath/drumpath/pkg/boottime"
	"github.com/drumpath/drumpath/pkg/http1"
	"github.com/drumpath/drumpath/pkg/route"
	"github.com/drumpath/drumpath/pkg/site"
	"github.com/drumpath/drumpath/pkg/suspect"
)

const (
	// forwardedShare is the share of the connections for clients that requests of other nodes may
	// take up in addition.
	forwardedShare = 0.25
	// maxForwardedHeadBytes bounds the head of a forwarded request: that of a client with what the
	// node adds for the replica.
	maxForwardedHeadBytes = 128 << 10
	// streamIdleTimeout ends a stream that carries no request.
	streamIdleTimeout = 30 * time.Second
	// healthTerm is how recently a replica must have been heard for a node to trust its network.
	healthTerm = route.GoneTerm
)

// serveOpinion answers another node that asks whether this one reaches a replica.
func (f *forwarding) serveOpinion(_ context.Context, in opinionRequest) (out opinionReply, err error) {
	out.Load = int(f.counts.serving.Load())
	u := in.Replica.upstream()
	if f.g.stopping() || !f.g.synced() {
		return out, nil
	}
	if _, known := f.g.poolOf(u); known && f.reaches(u, time.Duration(in.SinceMS)*time.Millisecond) {
		out.Opinion = route.OpinionReached
		return out, nil
	}
	if f.networkWorks(u) {
		out.Opinion = route.OpinionNotReached
	}
	return out, nil
}

// reaches reports whether this node reaches a replica, to which it connects unless it was heard
// within a time.
func (f *forwarding) reaches(u *site.Upstream, within time.Duration) bool {
	if f.paths.AtFault(u) {
		return false
	}
	if c := f.g.conns.contact(u.ID, u.Addr); c.heardAt.Load() != 0 && c.silence() < within {
		return true
	}
	conn, err := f.g.conns.dialTwice(u.ID, u.Addr)
	if err != nil {
		return false
	}
	f.g.conns.put(u.ID, conn)
	f.recordConnected(u)
	return true
}

// networkWorks reports whether the node reaches replicas other than one that it does not reach.
func (f *forwarding) networkWorks(u *site.Upstream) bool {
	if f.paths.AtFault(u) {
		return false
	}
	heard := f.g.conns.heardSince(sinceStart() - int64(healthTerm))
	delete(heard, u.ID)
	return len(heard) > 0 || f.g.reach.sampleNetwork(map[string]bool{u.ID: true}).reached > 0
}

// maxServed is how many requests of other nodes may be in flight here.
func (f *forwarding) maxServed() int64 {
	if n := f.g.conf().Forwarding.MaxRequests; n > 0 {
		return int64(n)
	}
	return int64(forwardedShare * float64(maxClients(f.g.conf().Limits.Descriptors)))
}

// serveStream serves the requests of another node that come on a stream, one after the other.
func (f *forwarding) serveStream(conn net.Conn, r *bufio.Reader) {
	for {
		_ = conn.SetDeadline(time.Now().Add(streamIdleTimeout)) // If it fails, so does the next read.
		s := &forwardedRequest{f: f, conn: conn, r: r, sendDone: make(chan struct{}), pumped: make(chan error, 1)}
		if err := readForwardLine(r, &s.forwardHead); err != nil {
			if !errors.Is(err, io.EOF) {
				f.g.log.Debug("stream of another node ended", "peer", conn.RemoteAddr(), "err", err)
			}
			return
		}
		s.receivedAt = boottime.Now()
		if !s.serve() {
			return
		}
	}
}

// forwardedRequest is a request of another node.
type forwardedRequest struct {
	forwardHead

	f          *forwarding
	conn       net.Conn // To the other node.
	r          *bufio.Reader
	receivedAt time.Time
	replica    *site.Upstream
	pool       *route.Pool
	upstream   *upstreamConn
	status     int           // Of the replica's answer, 0 before.
	written    atomic.Bool   // The replica has been sent the whole request.
	sendDone   chan struct{} // Closed when sendOn returns.
	// pumped receives what ended pump, nil once the next request has begun.
	pumped chan error
}

// serve serves the request and reports whether the stream may carry another one.
func (s *forwardedRequest) serve() (reusable bool) {
	deadline := s.receivedAt.Add(time.Duration(s.LeftMS)*time.Millisecond + writeGrace)
	_ = s.conn.SetDeadline(boottime.Monotonic(deadline)) // If it fails, so does the next read.
	head, err := http1.ReadRequest(s.r, maxForwardedHeadBytes)
	if err != nil {
		return false
	}
	body, err := http1.RequestBody(head, s.r)
	if err != nil {
		return false
	}
	s.f.counts.serving.Add(1)
	reason := s.connect()
	if reason != "" {
		defer s.f.counts.serving.Add(-1)
		return s.refuse(reason, body)
	}
	s.f.counts.served.Add(1)
	err = s.exchange(head, body)
	s.f.counts.serving.Add(-1)
	s.f.g.log.Info("request forwarded", "request", s.Request, "node", s.Node, "replica", s.Replica.ID, "status", s.status,
		"after", boottime.Since(s.receivedAt), "err", errorText(err))
	if err != nil {
		return false
	}
	_ = s.conn.SetDeadline(time.Now().Add(streamIdleTimeout)) // If it fails, so does the next read.
	return <-s.pumped == nil
}

// errorText returns the text of an error, "" for none.
func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// refuse answers that the request is not sent on, and reads its body.
func (s *forwardedRequest) refuse(reason notForwarded, body *http1.Body) (reusable bool) {
	s.f.counts.notServed.Add(1)
	s.f.g.log.Debug("request of another node not sent on", "request", s.Request, "node", s.Node, "replica", s.Replica.ID, "reason", string(reason))
	if _, err := io.Copy(io.Discard, body); err != nil {
		return false
	}
	line, err := s.reply(reason)
	if err != nil {
		return false
	}
	_, err = s.conn.Write(line)
	return err == nil && reason != notForwardedStopping
}

// reply returns the line that precedes the replica's answer.
func (s *forwardedRequest) reply(reason notForwarded) ([]byte, error) {
	return appendForwardLine(nil, forwardReply{Reason: reason, Load: int(s.f.counts.serving.Load())})
}

// connect finds the replica and connects to it; reason is why it did not.
func (s *forwardedRequest) connect() (reason notForwarded) {
	g := s.f.g
	g.checkSuspension()
	switch {
	case g.stopping(), !g.synced():
		return notForwardedStopping
	case s.f.counts.serving.Load() > s.f.maxServed():
		return notForwardedBusy
	}
	s.replica = s.Replica.upstream()
	known := false
	if s.pool, known = g.poolOf(s.replica); !known || !s.pool.Accepts(s.replica, boottime.Now()) {
		return notForwardedExcluded
	}
	if _, verdict := g.suspects.Judge(suspect.Cause{Fingerprint: s.Content}, s.Replica.Service, s.Parts); verdict == suspect.Blocked {
		return notForwardedExcluded
	}
	if s.f.paths.AtFault(s.replica) {
		return notForwardedCutOff
	}
	maxIdle := maxIdleOnce
	if s.Repeatable {
		maxIdle = maxIdleRepeatable
	}
	conn, err := g.conns.get(s.Replica.ID, s.Replica.Addr, maxIdle)
	if err != nil {
		s.f.reportFailure(s.pool, s.replica, err)
		if s.f.networkWorks(s.replica) {
			return notForwardedUnreachable
		}
		return notForwardedCutOff
	}
	// The replica may have begun to drain while the connection was made.
	if !s.pool.Accepts(s.replica, boottime.Now()) || conn.silent() {
		g.conns.put(s.Replica.ID, conn)
		return notForwardedExcluded
	}
	s.upstream = conn
	return ""
}

// exchange sends the request to the replica and passes its answer back. The request ends when the
// other node closes the stream.
func (s *forwardedRequest) exchange(head *http1.Head, body *http1.Body) (err error) {
	g, up := s.f.g, s.upstream
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	cancelAbort := context.AfterFunc(ctx, func() { http1.Abort(up.conn) })
	g.conns.begin(up, &flight{
		request:      s.Request,
		replica:      s.Replica.ID,
		streaming:    s.Streaming,
		startedAt:    boottime.Now(),
		expected:     time.Duration(s.ExpectedMS) * time.Millisecond,
		allowedPause: time.Duration(s.PauseMS) * time.Millisecond,
	})
	sentAt := boottime.Now()
	go s.pump(head, body, cancel)
	answer, answerBody, mismatched, err := up.readAnswer(head.Method, s.Request, g.codec)
	if err == nil {
		s.status = answer.Status
		err = s.passOn(answer, answerBody, sentAt)
	}
	if err != nil && (!answered(answerBody) || errors.Is(err, http1.ErrBodyTruncated)) {
		s.recordLostRun(ctx, sentAt, err)
	}
	usable := err == nil && !answer.Close() && !mismatched && answerBody.Framing() != http1.FramingClose && s.written.Load()
	if notAborted := cancelAbort(); usable && notAborted {
		up.readKeepAlive(answer)
		g.conns.put(s.Replica.ID, up)
		return nil
	}
	g.conns.end(up)
	up.close()
	return err
}

// answered reports whether the body of an answer has been read to its end.
func answered(body *http1.Body) bool { return body != nil && body.Done() }

// pump sends the request on to the replica and then waits until the other node sends the next one
// or closes the stream, which ends this one.
func (s *forwardedRequest) pump(head *http1.Head, body *http1.Body, cancel context.CancelFunc) {
	err := s.sendOn(head, body)
	if err == nil {
		s.written.Store(true)
	}
	close(s.sendDone)
	if err == nil {
		_, err = s.r.Peek(1)
	}
	if err != nil {
		cancel()
	}
	s.pumped <- err
}

// sendOn writes the request as it came.
func (s *forwardedRequest) sendOn(head *http1.Head, body *http1.Body) error {
	length := http1.NoLength
	if head.Has("Content-Length") {
		length = int(body.Remaining())
	}
	if _, err := s.upstream.conn.Write(http1.AppendRequest(nil, head.Method, head.Target, head.EndToEnd(), length)); err != nil {
		return err
	}
	_, err := io.Copy(s.upstream.conn, body)
	return err
}

// passOn passes the replica's answer to the other node as it arrives.
func (s *forwardedRequest) passOn(answer *http1.Head, body *http1.Body, sentAt time.Time) error {
	info := s.f.g.codec.ResponseInfo(answer)
	s.f.g.recordResponseInfo(s.pool, s.replica, answer.Status, &info, sentAt, boottime.Now())
	out, err := s.reply("")
	if err != nil {
		return err
	}
	chunked := body.Framing() == http1.FramingChunked || body.Framing() == http1.FramingClose
	length := int(body.Remaining())
	if chunked {
		length = http1.NoLength
	}
	out = http1.AppendResponse(out, answer.Status, answer.EndToEnd(), length, false)
	buf := make([]byte, relayBufferSize)
	for {
		if _, err := s.conn.Write(out); err != nil {
			return errForwardingNodeLeft
		}
		n, err := body.Read(buf)
		out = out[:0]
		if n > 0 {
			s.upstream.recordBody()
			out = appendPiece(out, buf[:n], chunked)
		}
		switch {
		case err == io.EOF && chunked:
			return s.endChunks(body, out)
		case err == io.EOF, err == nil && body.Done() && !chunked:
			_, err = s.conn.Write(out)
			return err
		case err != nil:
			return err
		}
	}
}

// endChunks ends the answer to the other node after the last pieces, unless it ended with its connection and is not known to
// be whole.
func (s *forwardedRequest) endChunks(body *http1.Body, pieces []byte) error {
	if err := s.confirmEnd(body); err != nil {
		_, _ = s.conn.Write(pieces) // The answer is cut short in any case.
		return err
	}
	_, err := s.conn.Write(append(pieces, http1.LastChunk...))
	return err
}

// confirmEnd is as for an exchange.
func (s *forwardedRequest) confirmEnd(body *http1.Body) error {
	if body.Framing() != http1.FramingClose {
		return nil
	}
	if !sentWhole(s.sendDone, &s.written) {
		return http1.ErrBodyTruncated
	}
	_, err := s.f.g.checkEndOfConnection(s.pool, s.replica)
	return err
}

// appendPiece appends a piece of a body, as a chunk if the body is chunked.
func appendPiece(b, piece []byte, chunked bool) []byte {
	if chunked {
		return http1.AppendChunk(b, piece)
	}
	return append(b, piece...)
}

// errForwardingNodeLeft means that the node that received the request has closed the stream.
var errForwardingNodeLeft = errors.New("the node that received the request has closed the stream")

// recordLostRun records that the answer of the replica was lost.
func (s *forwardedRequest) recordLostRun(ctx context.Context, sentAt time.Time, err error) {
	s.f.g.log.Warn("answer lost", "request", s.Request, "content", s.Content, "replica", s.Replica.ID, "via", "", "attempts", 1, "err", err)
	run := newLostRun(s.replica, s.Request, s.Content, s.QuickHash, s.Parts, sentAt)
	silent := ctx.Err() != nil || errors.Is(err, errForwardingNodeLeft) || isUnreachable(err)
	s.f.g.recordLostRun(s.pool, s.replica, run, silent)
	if ctx.Err() == nil && isUnreachable(err) && !errors.Is(err, errReplicaGone) {
		s.f.reportFailure(s.pool, s.replica, err)
	}
}
