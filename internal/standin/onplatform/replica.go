package onplatform

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Request is one request as a replica received it.
type Request struct {
	Method string
	Target string
	Header http.Header
	Body   string
	// Disconnected is closed when the connection has been closed by the other end.
	Disconnected <-chan struct{}
}

// ID returns the request's id.
func (r *Request) ID() string { return r.Header.Get("Request-Id") }

// Script answers a request by writing to its connection; when it returns false
// the connection is closed.
type Script func(w io.Writer, r *Request) bool

// EarlyScript answers a request of which only the head has been read, and closes its connection.
type EarlyScript func(conn *net.TCPConn, r *Request)

// Replica is a replica whose answers a test scripts.
type Replica struct {
	ID string
	ln net.Listener

	mu       sync.Mutex
	script   Script
	early    EarlyScript
	received []*Request
	conns    map[net.Conn]struct{}
	closed   bool
	resets   bool // New connections are reset.
	wg       sync.WaitGroup
	unbound  chan struct{} // Closed when nothing listens any more.
}

// NewReplica starts a replica that answers 200 to everything.
func NewReplica(id string) (*Replica, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &Replica{ID: id, ln: ln, script: OK("from " + id), conns: map[net.Conn]struct{}{}, unbound: make(chan struct{})}
	r.wg.Go(r.accept)
	return r, nil
}

// Close stops the replica.
func (r *Replica) Close() {
	r.Kill()
	r.wg.Wait()
}

// Kill stops the replica as the end of its process would: nothing listens any more, and then its connections are
// closed. It doesn't wait, so that a script may call it.
func (r *Replica) Kill() {
	_ = r.ln.Close() // The replica ends in any case.
	<-r.unbound
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	for conn := range r.conns {
		_ = conn.Close()
	}
}

// ResetNewConnections makes the replica reset the connections that are made from now on, as one with too many does.
func (r *Replica) ResetNewConnections() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.resets = true
}

// Addr returns the address on which the replica listens.
func (r *Replica) Addr() netip.AddrPort { return r.ln.Addr().(*net.TCPAddr).AddrPort() }

// Script sets how requests are answered from now on.
func (r *Replica) Script(s Script) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.script = s
}

// AnswerEarly sets how requests are answered from now on whose bodies are still being sent.
func (r *Replica) AnswerEarly(s EarlyScript) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.early = s
}

// Received returns the requests received, except those to the platform's own paths under /-/.
func (r *Replica) Received() []*Request {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]*Request(nil), r.received...)
}

// OpenConnections returns the number of open connections.
func (r *Replica) OpenConnections() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.conns)
}

func (r *Replica) accept() {
	defer close(r.unbound)
	for {
		conn, err := r.ln.Accept()
		if err != nil {
			return
		}
		r.mu.Lock()
		if tcp, ok := conn.(*net.TCPConn); ok && r.resets {
			_ = tcp.SetLinger(0) // Closing it then sends a reset.
			_ = conn.Close()
			r.mu.Unlock()
			continue
		}
		if r.closed { // Close ran after Accept returned and did not see the connection.
			_ = conn.Close()
		}
		r.conns[conn] = struct{}{}
		r.mu.Unlock()
		r.wg.Go(func() { r.serve(conn) })
	}
}

func (r *Replica) serve(conn net.Conn) {
	defer func() {
		_ = conn.Close()
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.conns, conn)
	}()
	b := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(b)
		if err != nil {
			return
		}
		if early, tcp := r.answersEarly(conn); early != nil && req.ContentLength > 0 {
			early(tcp, &Request{Method: req.Method, Target: req.RequestURI, Header: req.Header})
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		disconnected := make(chan struct{})
		peeked := make(chan struct{})
		go func() {
			if _, err := b.Peek(1); err != nil {
				close(disconnected)
			}
			close(peeked)
		}()
		in := &Request{Method: req.Method, Target: req.RequestURI, Header: req.Header, Body: string(body), Disconnected: disconnected}
		r.mu.Lock()
		if !strings.HasPrefix(in.Target, "/-/") {
			r.received = append(r.received, in)
		}
		script := r.script
		r.mu.Unlock()
		if !script(conn, in) {
			return
		}
		<-peeked
	}
}

// answersEarly returns how a request is answered whose body has not been read, nil if it is not.
func (r *Replica) answersEarly(conn net.Conn) (EarlyScript, *net.TCPConn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return nil, nil
	}
	return r.early, tcp
}

// OK answers 200 with a body.
func OK(body string) Script {
	return func(w io.Writer, r *Request) bool {
		writeText(w, Head(r, 200, len(body))+body)
		return true
	}
}

// NotExecuted answers with the given status and says that the request was not executed.
func NotExecuted(status int) Script {
	return func(w io.Writer, r *Request) bool {
		writeText(w, fmt.Sprintf("HTTP/1.1 %d X\r\nRequest-Id: %s\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", status, r.ID()))
		return true
	}
}

// Failed answers 500 without Not-Executed, as after a run that failed.
func Failed(w io.Writer, r *Request) bool {
	writeText(w, Head(r, 500, 4)+"oops")
	return true
}

// Hang never answers and returns when the caller has disconnected.
func Hang(_ io.Writer, r *Request) bool {
	<-r.Disconnected
	return false
}

// After waits until start is closed and then runs another script.
func After(start <-chan struct{}, s Script) Script {
	return func(w io.Writer, r *Request) bool {
		select {
		case <-start:
			return s(w, r)
		case <-r.Disconnected:
			return false
		}
	}
}

// CloseUnanswered closes the connection without answering.
func CloseUnanswered(io.Writer, *Request) bool { return false }

// Raw writes text, in which %ID% stands for the request's id, and keeps the connection
// open if keepOpen is set.
func Raw(text string, keepOpen bool) Script {
	return func(w io.Writer, r *Request) bool {
		writeText(w, strings.ReplaceAll(text, "%ID%", r.ID()))
		return keepOpen
	}
}

// Events streams the events numbered from to to, with a pause after each, and ends the
// stream properly if complete is set.
func Events(from, to int, pause time.Duration, complete bool) Script {
	return func(w io.Writer, r *Request) bool {
		events := make([]string, 0, to-from+1)
		for i := from; i <= to; i++ {
			events = append(events, fmt.Sprintf("id: %d\ndata: piece %d\n\n", i, i))
		}
		return Stream(events, pause, complete)(w, r)
	}
}

// Stream streams events, with a pause after each, and ends the stream properly if complete
// is set.
func Stream(events []string, pause time.Duration, complete bool) Script {
	return func(w io.Writer, r *Request) bool {
		writeText(w, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nServer-Stamp: s\r\nRequest-Id: "+r.ID()+
			"\r\nTransfer-Encoding: chunked\r\n\r\n")
		for _, event := range events {
			writeText(w, fmt.Sprintf("%x\r\n%s\r\n", len(event), event))
			time.Sleep(pause)
		}
		if complete {
			writeText(w, "0\r\n\r\n")
		}
		return complete
	}
}

// UnframedStream streams events like Stream, with neither a length nor chunks: the stream ends with its connection.
func UnframedStream(events []string, pause time.Duration) Script {
	return func(w io.Writer, r *Request) bool {
		writeText(w, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nServer-Stamp: s\r\nRequest-Id: "+r.ID()+"\r\nConnection: close\r\n\r\n")
		for _, event := range events {
			writeText(w, event)
			time.Sleep(pause)
		}
		return false
	}
}

// RestOfStream streams the events that follow the one that the request names in Last-Event-Id, up to the last of
// the stream, each with the same text. With the given probability it breaks off before.
func RestOfStream(text string, last int, pause time.Duration, breakShare float64) Script {
	return func(w io.Writer, r *Request) bool {
		first, _ := strconv.Atoi(r.Header.Get("Last-Event-Id")) // 0 without one.
		end := last
		if first < last && rand.Float64() < breakShare {
			end = first + rand.IntN(last-first)
		}
		var list []string
		for i := first + 1; i <= end; i++ {
			list = append(list, fmt.Sprintf("id: %d\ndata: %s\n\n", i, text))
		}
		return Stream(list, pause, end == last)(w, r)
	}
}

// Head returns the response head of an answer that the replica itself produced, which is marked
// by the Server-Stamp header.
func Head(r *Request, status, length int) string {
	return fmt.Sprintf("HTTP/1.1 %d X\r\nServer-Stamp: s\r\nRequest-Id: %s\r\nContent-Length: %d\r\n\r\n", status, r.ID(), length)
}

func writeText(w io.Writer, text string) {
	_, _ = io.WriteString(w, text) // The caller may have disconnected.
}
