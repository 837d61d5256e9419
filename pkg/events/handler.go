package events

import (
	"context"
	"io"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

const (
	// queueSize is how many lines may wait to be written: some seconds' worth of a
	// busy node, in a few hundred kilobytes of memory.
	queueSize = 4096
	// routineShare is the fraction of the queue that routine lines may fill; the
	// rest is reserved for changes and failures.
	routineShare = 0.5
	// reportDroppedEvery is the interval between "log lines dropped" lines.
	reportDroppedEvery = time.Second
)

// Handler is a slog.Handler whose lines are written by a goroutine of its own. A
// line for which the queue has no room is dropped and counted, so a process whose
// output nobody reads is not blocked.
type Handler struct {
	writer *writer
	attrs  []slog.Attr
}

// writer is shared by a handler and those derived from it by WithAttrs.
type writer struct {
	level        slog.Leveler
	classes      map[string]Class
	queue        chan slog.Record
	routineLimit *rate.Limiter // For routine lines.
	dropped      [len(classNames)]atomic.Int64
	output       slog.Handler
	done         chan struct{}
	once         sync.Once
	stopped      chan struct{}
}

// NewHandler returns a handler that writes JSON lines to w, at most perSecond
// routine lines per second.
func NewHandler(w io.Writer, level slog.Leveler, perSecond int) *Handler {
	s := &writer{
		level:        level,
		classes:      map[string]Class{},
		queue:        make(chan slog.Record, queueSize),
		routineLimit: rate.NewLimiter(rate.Limit(perSecond), perSecond),
		output:       slog.NewJSONHandler(w, &slog.HandlerOptions{Level: level}),
		done:         make(chan struct{}),
		stopped:      make(chan struct{}),
	}
	for _, e := range Catalogue {
		s.classes[e.Name] = e.Class
	}
	go s.run()
	return &Handler{writer: s}
}

// Enabled implements slog.Handler.
func (h *Handler) Enabled(_ context.Context, l slog.Level) bool { return l >= h.writer.level.Level() }

// Handle implements slog.Handler; it never blocks.
func (h *Handler) Handle(_ context.Context, r slog.Record) error {
	s := h.writer
	class := s.classOf(&r)
	if class == Routine && (len(s.queue) > int(routineShare*queueSize) || !s.routineLimit.Allow()) {
		s.dropped[class].Add(1)
		return nil
	}
	r = r.Clone()
	r.AddAttrs(h.attrs...)
	select {
	case s.queue <- r:
	default:
		s.dropped[class].Add(1)
	}
	return nil
}

// classOf returns the declared class. Undeclared lines are failures from level
// warn on and changes below it.
func (s *writer) classOf(r *slog.Record) Class {
	class, ok := s.classes[r.Message]
	switch {
	case ok:
		return class
	case r.Level >= slog.LevelWarn:
		return Failure
	default:
		return Change
	}
}

// WithAttrs implements slog.Handler.
func (h *Handler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &Handler{writer: h.writer, attrs: append(append([]slog.Attr(nil), h.attrs...), attrs...)}
}

// WithGroup implements slog.Handler; groups are ignored, as no line uses them.
func (h *Handler) WithGroup(string) slog.Handler { return h }

// Dropped returns how many lines of a class were dropped so far.
func (h *Handler) Dropped(c Class) int64 { return h.writer.dropped[c].Load() }

// Close writes the queued lines and stops the writer. It waits for at most timeout,
// as the output may be blocked.
func (h *Handler) Close(timeout time.Duration) {
	h.writer.once.Do(func() { close(h.writer.done) })
	select {
	case <-h.writer.stopped:
	case <-time.After(timeout):
	}
}

func (s *writer) run() {
	defer close(s.stopped)
	t := time.NewTicker(reportDroppedEvery)
	defer t.Stop()
	var reported [len(classNames)]int64
	for {
		select {
		case r := <-s.queue:
			s.write(r)
		case <-t.C:
			s.writeDropped(&reported)
		case <-s.done:
			s.drain()
			s.writeDropped(&reported)
			return
		}
	}
}

func (s *writer) drain() {
	for {
		select {
		case r := <-s.queue:
			s.write(r)
		default:
			return
		}
	}
}

// write ignores errors: the output that failed is the only place to report them.
func (s *writer) write(r slog.Record) { _ = s.output.Handle(context.Background(), r) }

// writeDropped logs the number of dropped lines if any were dropped since the last call.
func (s *writer) writeDropped(reported *[len(classNames)]int64) {
	r := slog.NewRecord(time.Now(), slog.LevelWarn, "log lines dropped", 0)
	someDropped := false
	for c := range s.dropped {
		n := s.dropped[c].Load()
		r.AddAttrs(slog.Int64(Class(c).String(), n-reported[c]))
		someDropped = someDropped || n > reported[c]
		reported[c] = n
	}
	if someDropped {
		s.write(r)
	}
}
