package suspects

import (
	"context"
	"errors"
	"log/slog"
	"maps"
	"net/netip"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/drumpath/drumpath/pkg/boottime"
	"github.com/drumpath/drumpath/pkg/control"
	"github.com/drumpath/drumpath/pkg/http1"
	"github.com/drumpath/drumpath/pkg/site"
	"github.com/drumpath/drumpath/pkg/suspect"
)

// Suspects is what this node and the others know of requests under which replicas ended.
//
// What a node has seen it tells to a few nodes that hashing gives the request to, and they
// tell all nodes once it is watched or blocked. A replica that ends has up to some dozens
// of requests in flight; told to all, a hall that ends would cost each of 900 nodes 1.6 MB.
//
//	learnt by                            told to
//	a first end, seen here               the request's owners, twice
//	a further one; a finish              all nodes, twice
//	a digest that differs, each second   one node at random, both ways
//	a block                                the platform's store, for when all start anew
type Suspects struct {
	self     control.Member
	members  *control.Members
	store    Store
	client   Caller
	register *suspect.Register
	log      *slog.Logger
	notifier Notifier
	metrics  metrics
	// dial says whether an address can't be reached.
	dial func(addr netip.AddrPort) error
	wg   sync.WaitGroup

	mu             sync.Mutex
	learning       learning
	lostRuns       []LostRun
	delistedAt     map[string]time.Time // When replicas that had not said that they leave went, by ID.
	announced      int                  // Ends told since toldFrom.
	announceWindow time.Time            // Begin of a second.
	stored         map[site.Fingerprint]bool
	nextSave       time.Time // The store is not written before.
}

// Store is where blocked requests are kept.
type Store interface {
	List(ctx context.Context, t site.Table) (site.Listing, error)
	// Put writes a row that has the expected version; the error wraps site.ErrConflict
	// when it has another.
	Put(ctx context.Context, t site.Table, key string, value []byte, expected int64) (site.Listing, error)
}

// Notifier sends notes, which may be lost, to other nodes.
type Notifier interface {
	// SendNote sends one to some nodes, and returns the bytes sent.
	SendNote(to []netip.AddrPort, method string, params any) (sent int)
	// Recipients are the nodes to tell what all are to hear, and those that tell it on in
	// their halls, others at each try.
	Recipients(try int) (direct, relays []netip.AddrPort)
	// HallPeers are the other nodes of this one's hall.
	HallPeers() []netip.AddrPort
}

// Caller calls other nodes.
type Caller interface {
	CallWithin(ctx context.Context, within time.Duration, addr netip.AddrPort, method string, params, result any) error
	Notify(ctx context.Context, addr netip.AddrPort, method string, params any) error
}

type metrics struct {
	ends        atomic.Int64 // Replicas that ended, counted for each request in flight there.
	unannounced atomic.Int64 // Of these, not told to other nodes for want of time.
}

// LostRun is a request whose replica gave no whole answer, and may have ended.
type LostRun struct {
	Content   site.Fingerprint
	QuickHash uint64
	RequestID string // The caller's name of its attempt.
	Replica   string // The replica's ID.
	StartKey  string // Its start.
	Addr      netip.AddrPort
	StartedAt time.Time
	LostAt    time.Time // When the answer was lost.
	// Reachable says that the replica took a connection afterwards.
	Reachable bool
}

const (
	// ownerCount is how many nodes a request's ends are told to: one may have ended with a
	// replica beside it, and one be cut off.
	ownerCount      = 3
	ownerDutyPrefix = "ends/"
	// refusedWindow is how long before a refused connection an answer may have been lost for
	// the replica to have ended under that request: others try it many times a second.
	refusedWindow = 2 * time.Second
	// listedWindow is that before the platform's list drops the replica, which takes up to
	// three of its heartbeats, or has a new start of it.
	listedWindow = 10 * time.Second
	// dialTimeout bounds a look whether a replica takes connections, which takes some
	// milliseconds.
	dialTimeout = 400 * time.Millisecond
	// maxRunTime is over how long any request is held.
	maxRunTime = time.Minute
	// maxLostRuns bounds the answers that are remembered as lost, some 100 bytes each.
	maxLostRuns = 2048
	// maxFirstEndsPerSecond is how many first ends a node tells in a second, some 150 bytes six times.
	maxFirstEndsPerSecond = 100
)

// New returns what a node knows, which is nothing yet. Without a store nothing outlasts all
// nodes. SetNotifier is to be called before anything else.
func New(self control.Member, members *control.Members, store Store, client Caller, log *slog.Logger) *Suspects {
	return &Suspects{
		self:       self,
		members:    members,
		store:      store,
		client:     client,
		register:   suspect.NewRegister(),
		learning:   learning{done: make(chan struct{})},
		log:        log,
		stored:     map[site.Fingerprint]bool{},
		delistedAt: map[string]time.Time{},
		dial:       dial,
	}
}

// Close waits for what is under way.
func (s *Suspects) Close() { s.wg.Wait() }

func dial(addr netip.AddrPort) error {
	conn, err := http1.Dial(addr.String(), dialTimeout, dialTimeout)
	if err != nil {
		return err
	}
	return conn.Close()
}

// SetNotifier says by whom other nodes are told.
func (s *Suspects) SetNotifier(n Notifier) { s.notifier = n }

// Empty says whether nothing is known of any request.
func (s *Suspects) Empty() bool { return s.register.Empty() }

// Case is what is known of a request.
func (s *Suspects) Case(f site.Fingerprint) suspect.Case { return s.register.Case(f) }

// StartKeyOf names a start of a replica; started is zero where that is not known.
func StartKeyOf(id string, started time.Time) string {
	if started.IsZero() {
		return id
	}
	return id + "@" + strconv.FormatInt(started.UnixMilli(), 10)
}

// NotListening says whether an error of a new connection shows that no process listens any
// more. A path that is cut shows nothing of the kind: every replica would seem to end.
func NotListening(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// RecordLostRun notes a request whose replica may have ended. If the replica's entry has gone
// while its answer was still waited for, that is found out.
func (s *Suspects) RecordLostRun(run LostRun) {
	s.mu.Lock()
	if len(s.lostRuns) >= maxLostRuns {
		s.lostRuns = s.lostRuns[1:]
	}
	s.lostRuns = append(s.lostRuns, run)
	delisted := s.delistedAt[run.Replica].After(run.StartedAt)
	s.mu.Unlock()
	if delisted {
		s.checkReachable(run.Replica, run.Addr)
	}
}

// checkReachable finds out whether a replica whose entry has gone has ended: one that leaves without
// a word serves on for a while.
func (s *Suspects) checkReachable(id string, addr netip.AddrPort) {
	s.wg.Go(func() {
		if s.dial(addr) == nil {
			s.markReachable(id)
			return
		}
		s.confirmEnds(boottime.Now(), func(r *LostRun) bool { return r.Replica == id && !r.Reachable })
	})
}

// markReachable notes that a replica takes connections.
func (s *Suspects) markReachable(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range s.lostRuns {
		if s.lostRuns[i].Replica == id {
			s.lostRuns[i].Reachable = true
		}
	}
}

// recordDelistedAt notes that a replica has gone, or started anew.
func (s *Suspects) recordDelistedAt(id string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delistedAt[id] = now
}

// forgetDelisted forgets replicas that went longer ago than any request is held.
func (s *Suspects) forgetDelisted(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	maps.DeleteFunc(s.delistedAt, func(_ string, at time.Time) bool { return now.Sub(at) > maxRunTime })
}

// RecordNotListening notes that the address of a start of a replica takes no connections any more.
func (s *Suspects) RecordNotListening(startKey string, now time.Time) {
	s.confirmEnds(now, func(r *LostRun) bool {
		return r.StartKey == startKey && !r.Reachable && now.Sub(r.LostAt) < refusedWindow
	})
}

// RecordDelisted notes that the platform's list has no longer a replica that did not say that it was
// leaving. If answers were lost there, it is found out whether it has ended.
func (s *Suspects) RecordDelisted(id string, now time.Time) {
	s.recordDelistedAt(id, now)
	s.mu.Lock()
	i := slices.IndexFunc(s.lostRuns, func(r LostRun) bool { return r.Replica == id && !r.Reachable })
	addr := netip.AddrPort{}
	if i >= 0 {
		addr = s.lostRuns[i].Addr
	}
	s.mu.Unlock()
	if i >= 0 {
		s.checkReachable(id, addr)
	}
}

// RecordRestart notes that a replica that had not said that it was leaving has started anew
// under its ID.
func (s *Suspects) RecordRestart(id string, now time.Time) {
	s.confirmEnds(now, func(r *LostRun) bool { return r.Replica == id })
}

// confirmEnds takes those of the lost answers whose replica has ended as ends.
func (s *Suspects) confirmEnds(now time.Time, ended func(*LostRun) bool) {
	var list []LostRun
	s.mu.Lock()
	pending := s.lostRuns[:0]
	for _, r := range s.lostRuns {
		switch {
		case now.Sub(r.LostAt) >= listedWindow: // What happens now has nothing to do with it.
		case ended(&r):
			list = append(list, r)
		default:
			pending = append(pending, r)
		}
	}
	clear(s.lostRuns[len(pending):])
	s.lostRuns = pending
	s.mu.Unlock()
	for _, r := range list {
		s.RecordEnd(r, now)
	}
}

// RecordEnd notes that a replica ended while a request was in flight there.
func (s *Suspects) RecordEnd(r LostRun, now time.Time) {
	change := s.register.Merge(suspect.Case{
		Content:   r.Content,
		QuickHash: r.QuickHash,
		Ends:      []suspect.ReplicaEnd{{Replica: r.StartKey, StartedAt: r.StartedAt, EndedAt: now}},
	})
	c := s.register.Case(r.Content)
	s.metrics.ends.Add(1)
	s.log.Warn("replica ended under a request", "request", r.RequestID, "content", r.Content, "replica", r.Replica,
		"ends", len(c.Ends), "verdict", change.After.String(), "finished_before", !c.Finished.IsZero())
	s.logChange(c, change)
	if change.New && len(c.Ends) > 0 {
		s.announce(c, change, now)
	}
}

// RecordFinish notes that a replica finished a request.
func (s *Suspects) RecordFinish(quickHash uint64, content func() site.Fingerprint, now time.Time) {
	s.register.Finished(quickHash, now)
	if s.register.Empty() {
		return // Nothing has to be hashed.
	}
	f := content()
	if len(s.register.Case(f).Ends) == 0 {
		return
	}
	change := s.register.Merge(suspect.Case{Content: f, QuickHash: quickHash, Finished: now})
	c := s.register.Case(f)
	s.logChange(c, change)
	if change.New && s.register.ShouldAnnounce(f) {
		s.announce(c, change, now)
	}
}

// logChange logs a change of what is done with a request.
func (s *Suspects) logChange(c suspect.Case, change suspect.MergeResult) {
	if change.Before == change.After {
		return
	}
	if change.After == suspect.Allowed {
		s.log.Info("request no longer suspected", "content", c.Content)
		return
	}
	s.log.Warn("request suspected", "content", c.Content, "verdict", change.After.String(), "ends", len(c.Ends), "replicas", c.Replicas())
}

// owners are the nodes that collect what is known of a request.
func (s *Suspects) owners(f site.Fingerprint) []control.Member {
	return control.Owners(s.members.View().Working, ownerDutyPrefix+f.String(), ownerCount)
}

// Status is what is served of it.
type Status struct {
	Ends        int64 `json:"ends"`
	Unannounced int64 `json:"ends_untold"`
	Watched     int   `json:"watched"`
	Blocked     int   `json:"blocked"`
}

// Status counts what is known.
func (s *Suspects) Status() Status {
	watched, blocked := s.register.Count()
	return Status{
		Ends:        s.metrics.ends.Load(),
		Unannounced: s.metrics.unannounced.Load(),
		Watched:     watched,
		Blocked:     blocked,
	}
}
