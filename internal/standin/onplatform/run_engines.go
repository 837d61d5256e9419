package onplatform

import (
	"encoding/json"
	"fmt"
	"io"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"
)

// RunFault is a failure of an engine that a test injects.
type RunFault int

// Faults of a move call, of a request that is to go on with a run from a copy, and of another one.
const (
	NoFault RunFault = iota
	// MoveUnknownRun and MoveInProgress refuse a move call with 404 and 409.
	MoveUnknownRun
	MoveInProgress
	// MoveNoRoom refuses a move call with 503 and does not stop the run, MoveNoRoomStopped
	// stops the run and returns a handle for use at the source.
	MoveNoRoom
	MoveNoRoomStopped
	// MoveAnswerLost stops the run, makes the copy and closes the connection unanswered.
	MoveAnswerLost
	// ResumeRefused and ResumeMisdirected refuse a request with 503 and 421.
	ResumeRefused
	ResumeMisdirected
	// ResumeLost closes the connection before the run has begun.
	ResumeLost
	// ResumeCut closes the connection after two more events.
	ResumeCut
	// RunCut closes the connection of a run that is not resumed after two events, RunLost before
	// its answer.
	RunCut
	RunLost
)

// RunStep is what an engine is about to do when a fault is asked for.
type RunStep int

// Steps.
const (
	StepMove RunStep = iota
	StepResume
	StepRun
)

// RunEngines are engines that generate streams of numbered events, and copy runs to each other.
type RunEngines struct {
	Events    int           // Events of a whole run.
	Pause     time.Duration // Pause after each event.
	CopyTime  time.Duration
	Numbers   bool // Handles are numbers in JSON, not strings.
	KeepsOpen bool // A stopped run's stream stays open until its client closes it.

	mu      sync.Mutex
	fault   func(step RunStep, engine string) RunFault
	runs    map[string]*engineRun // By request ID.
	copies  map[string]*runCopy   // By handle.
	active  map[string]int        // Runs in progress, by request ID.
	overlap int                   // Most runs in progress at a time for one request.
	moves   int
	dropped int
	backups int
	resumed map[string][]string // Engines that went on with a run, by request ID.
}

type engineRun struct {
	engine  string
	made    int
	stop    chan struct{}
	stopped chan struct{} // Closed once nothing runs any more.
	moving  bool
}

type runCopy struct {
	source, target netip.AddrPort
	complete       bool // The target has the copy.
	returned       bool // The node knows the handle.
	used, dropped  bool
}

// NewRunEngines returns a group of engines without faults.
func NewRunEngines(events int, pause time.Duration) *RunEngines {
	return &RunEngines{
		Events: events, Pause: pause,
		fault: func(RunStep, string) RunFault { return NoFault },
		runs:  map[string]*engineRun{}, copies: map[string]*runCopy{},
		active: map[string]int{}, resumed: map[string][]string{},
	}
}

// SetFault sets what is asked for a fault at each step.
func (g *RunEngines) SetFault(f func(step RunStep, engine string) RunFault) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.fault = f
}

// Moves returns the number of move calls.
func (g *RunEngines) Moves() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.moves
}

// Dropped returns the number of copies that were dropped.
func (g *RunEngines) Dropped() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.dropped
}

// Overlap returns the most runs that were in progress at a time for one request.
func (g *RunEngines) Overlap() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.overlap
}

// Active returns the number of runs in progress.
func (g *RunEngines) Active() (n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, count := range g.active {
		n += count
	}
	return n
}

// Resumed returns the engines that went on with the run of a request.
func (g *RunEngines) Resumed(id string) []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]string(nil), g.resumed[id]...)
}

// Unused returns the number of copies that the node knows of and has neither used nor dropped.
func (g *RunEngines) Unused() (n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, c := range g.copies {
		if c.returned && !c.used && !c.dropped {
			n++
		}
	}
	return n
}

// Serve returns the script of one of the engines.
func (g *RunEngines) Serve(r *Replica) Script {
	return func(w io.Writer, in *Request) bool {
		switch {
		case in.Target == "/-/kv-move":
			return g.serveMove(w, in, r)
		case strings.HasPrefix(in.Target, "/-/kv-handle/"):
			return g.serveDrop(w, in)
		case strings.HasPrefix(in.Target, "/-/"):
			return NotExecuted(404)(w, in)
		default:
			return g.serveRun(w, in, r)
		}
	}
}

func (g *RunEngines) nextFault(step RunStep, engine string) RunFault {
	g.mu.Lock()
	f := g.fault
	g.mu.Unlock()
	return f(step, engine)
}

func writeJSON(w io.Writer, status int, body string) bool {
	writeText(w, fmt.Sprintf("HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body))
	return true
}

func (g *RunEngines) serveMove(w io.Writer, in *Request, r *Replica) bool {
	var order struct {
		ID     string         `json:"id"`
		Target netip.AddrPort `json:"target_version"`
		Last   bool           `json:"last"`
	}
	if json.Unmarshal([]byte(in.Body), &order) != nil || !order.Last {
		return writeJSON(w, 400, `{}`)
	}
	fault := g.nextFault(StepMove, r.ID)
	g.mu.Lock()
	g.moves++
	run := g.runs[order.ID]
	switch {
	case fault == MoveUnknownRun || run == nil || run.engine != r.ID:
		g.mu.Unlock()
		return writeJSON(w, 404, `{}`)
	case fault == MoveInProgress || run.moving:
		g.mu.Unlock()
		return writeJSON(w, 409, `{}`)
	case fault == MoveNoRoom:
		g.mu.Unlock()
		return writeJSON(w, 503, `{"error":"no room"}`)
	}
	run.moving = true
	g.mu.Unlock()
	close(run.stop)
	<-run.stopped
	time.Sleep(g.CopyTime)
	g.mu.Lock()
	handle := strconv.Itoa(len(g.copies) + 1)
	copied := &runCopy{source: r.Addr(), target: order.Target, complete: fault != MoveNoRoomStopped, returned: fault != MoveAnswerLost}
	g.copies[handle] = copied
	made := run.made
	g.mu.Unlock()
	if fault == MoveAnswerLost {
		return false
	}
	if !g.Numbers {
		handle = strconv.Quote(handle)
	}
	status := 200
	if fault == MoveNoRoomStopped {
		status = 503
	}
	return writeJSON(w, status, fmt.Sprintf(`{"handle":%s,"made":%d}`, handle, made))
}

func (g *RunEngines) serveDrop(w io.Writer, in *Request) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	c := g.copies[strings.TrimPrefix(in.Target, "/-/kv-handle/")]
	if in.Method != "DELETE" || c == nil || c.used || c.dropped {
		return writeJSON(w, 404, `{}`)
	}
	c.dropped = true
	g.dropped++
	return writeJSON(w, 200, `{}`)
}

// take uses a copy at an engine; ok is false if there is none.
func (g *RunEngines) take(from string, r *Replica) (ok bool) {
	addr, handle, _ := strings.Cut(from, "/")
	g.mu.Lock()
	defer g.mu.Unlock()
	c := g.copies[handle]
	if c == nil || c.used || c.dropped || c.source.String() != addr {
		return false
	}
	if r.Addr() != c.source && (!c.complete || r.Addr() != c.target) {
		return false
	}
	c.used = true
	return true
}

func (g *RunEngines) serveRun(w io.Writer, in *Request, r *Replica) bool {
	limit := g.Events
	if from := in.Header.Get("Kv-From"); from != "" {
		switch fault := g.nextFault(StepResume, r.ID); fault {
		case ResumeRefused:
			return NotExecuted(503)(w, in)
		case ResumeMisdirected:
			return NotExecuted(421)(w, in)
		case ResumeLost:
			return false
		case ResumeCut:
			last, _ := strconv.Atoi(in.Header.Get("Last-Event-Id")) // 0 if it has none.
			limit = min(limit-1, last+2)
		}
		if !g.take(from, r) {
			return NotExecuted(503)(w, in)
		}
		g.mu.Lock()
		g.resumed[in.ID()] = append(g.resumed[in.ID()], r.ID)
		g.mu.Unlock()
	} else {
		switch g.nextFault(StepRun, r.ID) {
		case RunCut:
			limit = min(limit-1, 2)
		case RunLost:
			g.keepBackup(in)
			return false
		}
	}
	g.keepBackup(in)
	return g.run(w, in, r, limit)
}

// keepBackup makes the copy of a run at the engine that the request names.
func (g *RunEngines) keepBackup(in *Request) {
	addr, err := netip.ParseAddrPort(in.Header.Get("Kv-Backup"))
	if err != nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.copies[in.ID()] = &runCopy{source: addr, target: addr, complete: true}
	g.backups++
}

// Backups returns the number of requests that named an engine for a backup.
func (g *RunEngines) Backups() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.backups
}

// run generates the events after the last one that the request names, up to a limit.
func (g *RunEngines) run(w io.Writer, in *Request, r *Replica, limit int) bool {
	last, _ := strconv.Atoi(in.Header.Get("Last-Event-Id")) // 0 if it has none.
	run := &engineRun{engine: r.ID, made: last, stop: make(chan struct{}), stopped: make(chan struct{})}
	g.mu.Lock()
	g.runs[in.ID()] = run
	g.active[in.ID()]++
	g.overlap = max(g.overlap, g.active[in.ID()])
	g.mu.Unlock()
	ended := g.generate(w, in, run, limit)
	g.mu.Lock()
	g.active[in.ID()]--
	if g.runs[in.ID()] == run && !run.moving {
		delete(g.runs, in.ID())
	}
	g.mu.Unlock()
	close(run.stopped)
	if !ended && g.KeepsOpen {
		<-in.Disconnected
	}
	return ended
}

// generate reports whether the stream has ended as complete.
func (g *RunEngines) generate(w io.Writer, in *Request, run *engineRun, limit int) bool {
	writeText(w, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nServer-Stamp: "+run.engine+"\r\nRequest-Id: "+in.ID()+
		"\r\nTransfer-Encoding: chunked\r\n\r\n")
	for run.made < limit {
		g.mu.Lock()
		run.made++
		event := fmt.Sprintf("id: %d\ndata: piece %d\n\n", run.made, run.made)
		g.mu.Unlock()
		writeText(w, fmt.Sprintf("%x\r\n%s\r\n", len(event), event))
		select {
		case <-run.stop:
			return false
		case <-in.Disconnected:
			return false
		case <-time.After(g.Pause):
		}
	}
	if limit < g.Events {
		return false
	}
	g.mu.Lock()
	if run.moving {
		g.mu.Unlock()
		return false
	}
	delete(g.runs, in.ID()) // A move call finds no run from now on.
	g.mu.Unlock()
	writeText(w, "0\r\n\r\n")
	return true
}
