package gateway

import (
	"context"
	"errors"
	"log/slog"
	"maps"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/drumpath/drumpath/pkg/boottime"
	"github.com/drumpath/drumpath/pkg/control"
	"github.com/drumpath/drumpath/pkg/site"
	"github.com/drumpath/drumpath/pkg/suspect"
	"github.com/drumpath/drumpath/service/peer"
)

// suspects is what this node and the others know of requests under which replicas ended.
//
// What a node has seen it tells to a few nodes that hashing gives the request to, and they
// tell all nodes once it is watched or barred. A replica that ends has up to some dozens
// of requests in flight; told to all, a hall that ends would cost each of 900 nodes 1.6 MB.
//
//	learnt by                            told to
//	a first end, seen here               the request's owners, twice
//	a further one; a finish              all nodes, twice
//	a digest that differs, each second   one node at random, both ways
//	a bar                                the platform's store, for when all start anew
type suspects struct {
	self     control.Member
	members  *control.Members
	store    Store
	client   caller
	register *suspect.Register
	log      *slog.Logger
	notes    noteTeller
	metrics  suspectMetrics

	mu       sync.Mutex
	lost     []lostRun
	gone     map[string]time.Time // When replicas that had not said that they leave went, by ID.
	told     int                  // Ends told since toldFrom.
	toldFrom time.Time            // Begin of a second.
	kept     map[site.Fingerprint]bool
	keepNext time.Time // The store is not written before.
}

// caller calls other nodes.
type caller interface {
	CallWithin(ctx context.Context, within time.Duration, addr netip.AddrPort, method string, params, result any) error
	Notify(ctx context.Context, addr netip.AddrPort, method string, params any) error
}

type suspectMetrics struct {
	ends   atomic.Int64 // Replicas that ended, counted for each request in flight there.
	untold atomic.Int64 // Of these, not told to other nodes for want of time.
}

// lostRun is a request whose replica gave no whole answer, and may have ended.
type lostRun struct {
	content site.Fingerprint
	sketch  uint64
	request string
	replica string // Its ID.
	life    string // Its start.
	begun   time.Time
	at      time.Time
	// alive says that the replica took a connection afterwards.
	alive bool
}

const (
	// endOwners is how many nodes a request's ends are told to: one may have ended with a
	// replica beside it, and one be cut off.
	endOwners = 3
	endsDuty  = "ends/"
	// refusedTerm is how long before a refused connection an answer may have been lost for
	// the replica to have ended under that request: others try it many times a second.
	refusedTerm = 2 * time.Second
	// listedTerm is that before the platform's list drops the replica, which takes up to
	// three of its heartbeats, or has a new start of it.
	listedTerm = 10 * time.Second
	// mostLost bounds the answers that are remembered as lost, some 100 bytes each.
	mostLost = 2048
	// mostToldEnds is how many first ends a node tells in a second, some 150 bytes six times.
	mostToldEnds = 100
)

func newSuspects(self control.Member, m *control.Members, st Store, c *peer.Client, log *slog.Logger) *suspects {
	return &suspects{
		self:     self,
		members:  m,
		store:    st,
		client:   c,
		register: suspect.NewRegister(),
		log:      log,
		kept:     map[site.Fingerprint]bool{},
		gone:     map[string]time.Time{},
	}
}

// lifeOf names a replica's start.
func lifeOf(u *site.Upstream) string {
	if u.Started.IsZero() {
		return u.ID
	}
	return u.ID + "@" + strconv.FormatInt(u.Started.UnixMilli(), 10)
}

// refusedDial says whether an error of a new connection shows that no process listens any
// more. A path that is cut shows nothing of the kind: every replica would seem to end.
func refusedDial(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// remember notes a request whose replica may have ended, or has while its answer was still
// waited for.
func (s *suspects) remember(run lostRun) {
	s.mu.Lock()
	ended := s.gone[run.replica].After(run.begun)
	if !ended {
		if len(s.lost) >= mostLost {
			s.lost = s.lost[1:]
		}
		s.lost = append(s.lost, run)
	}
	s.mu.Unlock()
	if ended {
		s.ended(run, run.at)
	}
}

// went notes that a replica has gone, or started anew.
func (s *suspects) went(id string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.gone[id] = now
}

// forgetGone forgets replicas that went longer ago than any request is held.
func (s *suspects) forgetGone(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	maps.DeleteFunc(s.gone, func(_ string, at time.Time) bool { return now.Sub(at) > longestHold })
}

// refused notes that a replica's address takes no connections any more.
func (s *suspects) refused(u *site.Upstream, now time.Time) {
	s.confirm(now, func(r *lostRun) bool {
		return r.life == lifeOf(u) && !r.alive && now.Sub(r.at) < refusedTerm
	})
}

// dropped notes that the platform's list has no longer a replica that did not say that it
// was leaving.
func (s *suspects) dropped(id string, now time.Time) {
	s.went(id, now)
	s.confirm(now, func(r *lostRun) bool { return r.replica == id && !r.alive })
}

// restarted notes that a replica has started anew under its ID.
func (s *suspects) restarted(id string, now time.Time) {
	s.went(id, now)
	s.confirm(now, func(r *lostRun) bool { return r.replica == id })
}

// confirm takes those of the lost answers whose replica has ended as ends.
func (s *suspects) confirm(now time.Time, ended func(*lostRun) bool) {
	var list []lostRun
	s.mu.Lock()
	kept := s.lost[:0]
	for _, r := range s.lost {
		switch {
		case now.Sub(r.at) >= listedTerm: // What happens now has nothing to do with it.
		case ended(&r):
			list = append(list, r)
		default:
			kept = append(kept, r)
		}
	}
	clear(s.lost[len(kept):])
	s.lost = kept
	s.mu.Unlock()
	for _, r := range list {
		s.ended(r, now)
	}
}

// ended notes that a replica ended while a request was in flight there.
func (s *suspects) ended(r lostRun, now time.Time) {
	change := s.register.Merge(suspect.Case{
		Content: r.content,
		Sketch:  r.sketch,
		Ends:    []suspect.End{{Replica: r.life, Begun: r.begun, At: now}},
	})
	c := s.register.Case(r.content)
	s.metrics.ends.Add(1)
	s.log.Warn("replica ended under a request", "request", r.request, "content", r.content, "replica", r.replica,
		"ends", len(c.Ends), "verdict", change.After.String(), "finished_before", !c.Finished.IsZero())
	s.changed(c, change)
	if change.New && len(c.Ends) > 0 {
		s.tell(c, change, now)
	}
}

// finished notes that a replica finished a request.
func (s *suspects) finished(sketch uint64, content func() site.Fingerprint, now time.Time) {
	s.register.Finished(sketch, now)
	if s.register.Empty() {
		return // Nothing has to be hashed.
	}
	f := content()
	if len(s.register.Case(f).Ends) == 0 {
		return
	}
	change := s.register.Merge(suspect.Case{Content: f, Sketch: sketch, Finished: now})
	c := s.register.Case(f)
	s.changed(c, change)
	if change.New && s.register.MayTell(f) {
		s.tell(c, change, now)
	}
}

// changed logs a change of what is done with a request.
func (s *suspects) changed(c suspect.Case, change suspect.Change) {
	if change.Before == change.After {
		return
	}
	if change.After == suspect.Free {
		s.log.Info("request no longer suspected", "content", c.Content)
		return
	}
	s.log.Warn("request suspected", "content", c.Content, "verdict", change.After.String(), "ends", len(c.Ends), "replicas", c.Replicas())
}

// owners are the nodes that collect what is known of a request.
func (s *suspects) owners(f site.Fingerprint) []control.Member {
	return control.Owners(s.members.View().Working, endsDuty+f.String(), endOwners)
}

const (
	// askTerm bounds a call for leave to run a watched request: its caller waits.
	askTerm = 150 * time.Millisecond
	// methodRun asks an owner whether a watched request may be sent now, and methodOver
	// tells it that nothing came of that.
	methodRun  = "gateway.run_suspect"
	methodOver = "gateway.suspect_over"
)

// runRequest are the parameters of methodRun and methodOver.
type runRequest struct {
	Content site.Fingerprint `json:"content"`
	MostMS  int64            `json:"most_ms,omitempty"`
}

type runAnswer struct {
	Run bool `json:"run"`
}

// mayRun asks whether a watched request may be sent now: the first of its owners that
// answers lets one at a time, for at most a time. Where none does, this node lets one of
// its own.
func (s *suspects) mayRun(ctx context.Context, f site.Fingerprint, most time.Duration) bool {
	for _, o := range s.owners(f) {
		if o.Name == s.self.Name {
			break
		}
		var a runAnswer
		if err := s.client.CallWithin(ctx, askTerm, o.Peer, methodRun, runRequest{f, most.Milliseconds()}, &a); err == nil {
			return a.Run
		}
	}
	return s.register.Run(f, most, boottime.Now())
}

// over tells that a watched request has ended with no word of its replica.
func (s *suspects) over(f site.Fingerprint) {
	s.register.Over(f)
	owners := s.owners(f)
	if len(owners) == 0 || owners[0].Name == s.self.Name {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), askTerm)
	defer cancel()
	if err := s.client.Notify(ctx, owners[0].Peer, methodOver, runRequest{Content: f}); err != nil {
		s.log.Debug("end of a watched request not told", "err", err) // It lapses.
	}
}

func (s *suspects) status() suspectsStatus {
	watched, barred := s.register.Count()
	return suspectsStatus{
		Ends:    s.metrics.ends.Load(),
		Untold:  s.metrics.untold.Load(),
		Watched: watched,
		Barred:  barred,
	}
}
