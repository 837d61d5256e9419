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
	// ringSize is how many lines may wait to be written: some seconds of a busy
	// node's, in a few hundred kilobytes.
	ringSize = 4096
	// routineShare is the part of the ring that routine lines may fill, so that
	// there is room for failures.
	routineShare = 0.5
	// leftOutEvery is how often it is told how many lines were left out.
	leftOutEvery = time.Second
)

// Handler is a slog.Handler whose lines are written by a goroutine of its own. A
// line that finds no room is left out and counted: a process whose output nobody
// reads goes on as before.
type Handler struct {
	shared *writer
	attrs  []slog.Attr
}

// writer is what a handler and those derived from it share.
type writer struct {
	level   slog.Leveler
	classes map[string]Class
	ring    chan slog.Record
	limit   *rate.Limiter // Of routine lines.
	left    [len(classNames)]atomic.Int64
	next    slog.Handler
	done    chan struct{}
	once    sync.Once
	ended   chan struct{}
}

// NewHandler returns a handler that writes JSON lines to w, at most perSecond
// routine ones a second.
func NewHandler(w io.Writer, level slog.Leveler, perSecond int) *Handler {
	s := &writer{
		level:   level,
		classes: map[string]Class{},
		ring:    make(chan slog.Record, ringSize),
		limit:   rate.NewLimiter(rate.Limit(perSecond), perSecond),
		next:    slog.NewJSONHandler(w, &slog.HandlerOptions{Level: level}),
		done:    make(chan struct{}),
		ended:   make(chan struct{}),
	}
	for _, e := range Catalogue {
		s.classes[e.Name] = e.Class
	}
	go s.run()
	return &Handler{shared: s}
}

// Enabled implements slog.Handler.
func (h *Handler) Enabled(_ context.Context, l slog.Level) bool { return l >= h.shared.level.Level() }

// Handle implements slog.Handler; it never waits.
func (h *Handler) Handle(_ context.Context, r slog.Record) error {
	s := h.shared
	class := s.classOf(&r)
	if class == Routine && (len(s.ring) > int(routineShare*ringSize) || !s.limit.Allow()) {
		s.left[class].Add(1)
		return nil
	}
	r = r.Clone()
	r.AddAttrs(h.attrs...)
	select {
	case s.ring <- r:
	default:
		s.left[class].Add(1)
	}
	return nil
}

// classOf is the declared class; a line that is not declared is a failure if it
// warns and a change otherwise.
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
	return &Handler{shared: h.shared, attrs: append(append([]slog.Attr(nil), h.attrs...), attrs...)}
}

// WithGroup implements slog.Handler; lines have no groups.
func (h *Handler) WithGroup(string) slog.Handler { return h }

// LeftOut is how many lines of a class were left out so far.
func (h *Handler) LeftOut(c Class) int64 { return h.shared.left[c].Load() }

// Close writes what waits and ends the writer; it waits no longer than for limit,
// as the output may take nothing.
func (h *Handler) Close(limit time.Duration) {
	h.shared.once.Do(func() { close(h.shared.done) })
	select {
	case <-h.shared.ended:
	case <-time.After(limit):
	}
}

func (s *writer) run() {
	defer close(s.ended)
	t := time.NewTicker(leftOutEvery)
	defer t.Stop()
	var told [len(classNames)]int64
	for {
		select {
		case r := <-s.ring:
			s.write(r)
		case <-t.C:
			s.tellLeftOut(&told)
		case <-s.done:
			s.drain()
			s.tellLeftOut(&told)
			return
		}
	}
}

func (s *writer) drain() {
	for {
		select {
		case r := <-s.ring:
			s.write(r)
		default:
			return
		}
	}
}

// write can't tell anyone of a failure: the output is the only place for it.
func (s *writer) write(r slog.Record) { _ = s.next.Handle(context.Background(), r) }

// tellLeftOut writes a line if lines were left out since the last one.
func (s *writer) tellLeftOut(told *[len(classNames)]int64) {
	r := slog.NewRecord(time.Now(), slog.LevelWarn, "lines left out", 0)
	any := false
	for c := range s.left {
		n := s.left[c].Load()
		r.AddAttrs(slog.Int64(Class(c).String(), n-told[c]))
		any = any || n > told[c]
		told[c] = n
	}
	if any {
		s.write(r)
	}
}
