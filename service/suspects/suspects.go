package suspects

import (
	"context"
	"errors"
	"log/slog"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/drumpath/drumpath/pkg/boottime"
	"github.com/drumpath/drumpath/pkg/control"
	"github.com/drumpath/drumpath/pkg/history"
	"github.com/drumpath/drumpath/pkg/http1"
	"github.com/drumpath/drumpath/pkg/locks"
	"github.com/drumpath/drumpath/pkg/site"
	"github.com/drumpath/drumpath/pkg/suspect"
)

// Suspects holds the evidence of this node and the others about requests that were in flight
// at replicas that ended.
//
// A node reports a first end only to the few owners that the request hashes to; they notify
// all nodes once the request is watched or blocked. A replica that ends has up to some
// dozens of requests in flight. If each were announced to all nodes, the loss of a hall
// would cost each of 900 nodes 1.6 MB.
//
//	event                                sent to
//	first end seen at this node          owners of the request, twice
//	further end, finish                  all nodes, twice
//	run lost at a replica that ended     the nodes that collect the evidence about parts of the service, twice
//	part about to be blocked             all nodes, twice; those that know finishes answer
//	part blocked or released             all nodes, twice
//	differing digest, each second        one random node, both ways
//	block                                the platform's store, for a start of all nodes
type Suspects struct {
	self     control.Member
	members  *control.Members
	store    Store
	client   PeerClient
	register *suspect.Register
	log      *slog.Logger
	notifier Notifier
	metrics  metrics
	// dial returns an error if an address accepts no connections.
	dial func(addr netip.AddrPort) error
	wg   sync.WaitGroup

	mu             locks.Mutex
	learning       learning
	lostRuns       []LostRun
	delistedAt     map[string]time.Time // By replica ID, for replicas that had not reported to be draining.
	announced      int                  // First ends announced since announceWindow.
	announceWindow time.Time            // Start of the current second.
	askedAt        time.Time            // When this node last asked for finishes.
	stored         map[site.Fingerprint]bool
	nextSave       time.Time // Earliest time of the next write to the platform's store.
	// nextBlock is closed when a cause is blocked.
	nextBlock chan struct{}
}

// Store is the platform's store, which holds the row of blocked requests.
type Store interface {
	List(ctx context.Context, t site.Table) (site.Listing, error)
	// Put writes a row that has the expected position. If the row has another one, the
	// error wraps site.ErrConflict or site.ErrEraEnded.
	Put(ctx context.Context, t site.Table, key string, value []byte, expected history.Position) (site.Listing, error)
}

// Notifier sends notes to other nodes. Notes may be lost.
type Notifier interface {
	// SendNote sends a note to some nodes and returns the bytes sent.
	SendNote(to []netip.AddrPort, method string, params any) (sent int)
	// Recipients returns the nodes to send a broadcast to: those that get it directly, and
	// relays that forward it to their halls. Each try has other relays.
	Recipients(try int) (direct, relays []netip.AddrPort)
	// HallPeers returns the other nodes of this node's hall.
	HallPeers() []netip.AddrPort
}

// PeerClient calls other nodes; peer.Client implements it.
type PeerClient interface {
	CallWithin(ctx context.Context, within time.Duration, addr netip.AddrPort, method string, params, result any) error
	Notify(ctx context.Context, addr netip.AddrPort, method string, params any) error
}

type metrics struct {
	ends        atomic.Int64 // Ends of replicas, counted for each request in flight there.
	unannounced atomic.Int64 // Ends not announced because of the rate limit.
}

// LostRun is a run whose answer was lost or incomplete. Its replica may have ended.
type LostRun struct {
	Content   site.Fingerprint
	QuickHash uint64
	RequestID string // The client's request ID.
	Service   string
	// Parts are the IDs of the parts of its prompt that other requests may share.
	Parts     []string
	Replica   string // The replica's ID.
	StartKey  string // From StartKeyOf.
	Addr      netip.AddrPort
	StartedAt time.Time
	LostAt    time.Time // When the answer was lost.
	// Reachable means that the replica accepted a connection afterwards.
	Reachable bool
}

const (
	// ownerCount is how many owners a request has: one may have ended together with a
	// replica, and one may be cut off.
	ownerCount      = 3
	ownerDutyPrefix = "ends/"
	partDutyPrefix  = "parts/"
	// refusedWindow is how long before a refused connection an answer may have been lost
	// for the end of the replica to count against its request. Other requests try the
	// replica many times a second, so a refusal is seen soon.
	refusedWindow = 2 * time.Second
	// listedWindow is the same for a replica that the platform's list drops, which takes up
	// to three of its heartbeats, or lists with a new start.
	listedWindow = 10 * time.Second
	// dialTimeout bounds a check whether a replica accepts connections, which takes some
	// milliseconds.
	dialTimeout = 400 * time.Millisecond
	// maxRunTime is longer than any request may take.
	maxRunTime = time.Minute
	// maxLostRuns bounds the lost runs that are remembered, some 100 bytes each.
	maxLostRuns = 2048
	// maxFirstEndsPerSecond bounds the first ends that a node announces in a second; each
	// takes six notes of some 150 bytes.
	maxFirstEndsPerSecond = 100
)

// New returns a Suspects without evidence. Without a store, the evidence is lost when all
// nodes stop. SetNotifier must be called before any other method.
func New(self control.Member, members *control.Members, store Store, client PeerClient, log *slog.Logger) *Suspects {
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
		nextBlock:  make(chan struct{}),
		dial:       dial,
	}
}

// Close waits for calls in progress.
func (s *Suspects) Close() { s.wg.Wait() }

func dial(addr netip.AddrPort) error {
	conn, err := http1.Dial(addr.String(), dialTimeout, dialTimeout)
	if err != nil {
		return err
	}
	return conn.Close()
}

// SetNotifier sets how notes are sent to other nodes.
func (s *Suspects) SetNotifier(n Notifier) { s.notifier = n }

// Empty reports whether there is no evidence about any request.
func (s *Suspects) Empty() bool { return s.register.Empty() }

// Case returns the evidence about a request.
func (s *Suspects) Case(f site.Fingerprint) suspect.Case { return s.register.Case(f) }

// StartKeyOf identifies one start of a replica. started is zero if it is not known.
func StartKeyOf(id string, started time.Time) string {
	if started.IsZero() {
		return id
	}
	return id + "@" + strconv.FormatInt(started.UnixMilli(), 10)
}

// NotListening reports whether the error of a new connection shows that no process listens at
// its address. Timeouts don't show that: when the network is cut, every replica would seem
// to have ended.
func NotListening(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// RecordLostRun records a request whose replica may have ended. If the replica was delisted
// while its answer was awaited, RecordLostRun checks whether it has ended.
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

// checkReachable checks whether a delisted replica has ended: one that leaves without
// notice goes on serving for a while.
func (s *Suspects) checkReachable(id string, addr netip.AddrPort) {
	s.wg.Go(func() {
		if s.dial(addr) == nil {
			s.markReachable(id)
			return
		}
		s.confirmEnds(boottime.Now(), func(r *LostRun) bool { return r.Replica == id && !r.Reachable })
	})
}

// markReachable records that a replica accepts connections.
func (s *Suspects) markReachable(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range s.lostRuns {
		if s.lostRuns[i].Replica == id {
			s.lostRuns[i].Reachable = true
		}
	}
}

// recordDelistedAt records when a replica was delisted.
func (s *Suspects) recordDelistedAt(id string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delistedAt[id] = now
}

// forgetDelisted forgets replicas that were delisted longer ago than any request takes.
func (s *Suspects) forgetDelisted(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	maps.DeleteFunc(s.delistedAt, func(_ string, at time.Time) bool { return now.Sub(at) > maxRunTime })
}

// RecordNotListening records that nothing listens any more at the address of one start of a
// replica.
func (s *Suspects) RecordNotListening(startKey string, now time.Time) {
	s.confirmEnds(now, func(r *LostRun) bool {
		return r.StartKey == startKey && !r.Reachable && now.Sub(r.LostAt) < refusedWindow
	})
}

// RecordDelisted records that the platform no longer lists a replica that had not reported to
// be draining. If answers of it were lost, RecordDelisted checks whether it has ended.
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

// RecordRestart records that a replica that had not reported to be draining has restarted
// under its ID.
func (s *Suspects) RecordRestart(id string, now time.Time) {
	s.confirmEnds(now, func(r *LostRun) bool { return r.Replica == id })
}

// confirmEnds records the ends of those lost runs whose replica has ended, and drops old
// ones.
func (s *Suspects) confirmEnds(now time.Time, ended func(*LostRun) bool) {
	var list []LostRun
	s.mu.Lock()
	pending := s.lostRuns[:0]
	for _, r := range s.lostRuns {
		switch {
		case now.Sub(r.LostAt) >= listedWindow: // Too old to be caused by this event.
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

// RecordEnd records that a replica ended while a request was in flight there.
func (s *Suspects) RecordEnd(r LostRun, now time.Time) {
	end := suspect.ReplicaEnd{Replica: r.StartKey, StartedAt: r.StartedAt, EndedAt: now, Runs: []uint32{rand.Uint32()}}
	change := s.register.Merge(suspect.Case{Cause: suspect.RequestCause(r.Content, r.QuickHash), Ends: []suspect.ReplicaEnd{end}})
	c := s.register.Case(r.Content)
	s.metrics.ends.Add(1)
	s.log.Warn("replica ended under a request", "request", r.RequestID, "content", r.Content, "service", r.Service, "parts", r.loggedParts(), "replica", r.Replica,
		"ends", len(c.Ends), "verdict", change.After.String(), "finished_before", len(c.Finishes) > 0)
	s.logChange(c, change)
	if change.New && len(c.Ends) > 0 {
		s.announce(c, change, now)
	}
	s.recordPartEnds(&r, end, now)
}

// maxLoggedParts bounds the parts of a prompt in a log line.
const maxLoggedParts = 12

// loggedParts returns the parts of the prompt that are logged.
func (r *LostRun) loggedParts() []string { return r.Parts[:min(len(r.Parts), maxLoggedParts)] }

// RecordFinish records that a replica finished a request.
func (s *Suspects) RecordFinish(quickHash uint64, content func() site.Fingerprint, now time.Time) {
	s.register.RecordFinish(quickHash, now)
	if s.register.Empty() {
		return // Nothing has to be hashed.
	}
	f := content()
	if len(s.register.Case(f).Ends) == 0 {
		return
	}
	s.mergeFinish(suspect.RequestCause(f, quickHash), now)
}

// mergeFinish adds the finishes that this node remembers to the case of a cause, and announces them.
func (s *Suspects) mergeFinish(cause suspect.Cause, now time.Time) {
	change := s.register.Merge(suspect.Case{Cause: cause})
	c := s.register.Case(cause.Fingerprint)
	s.logChange(c, change)
	if change.New && s.register.TryAnnounce(cause.Fingerprint) {
		s.announce(c, change, now)
	}
}

// logChange logs a change of the verdict on a request.
func (s *Suspects) logChange(c suspect.Case, change suspect.MergeResult) {
	if change.Before == change.After {
		return
	}
	if change.After == suspect.Blocked {
		s.announceBlock()
	}
	switch {
	case c.Kind == suspect.KindPart && change.After == suspect.Allowed:
		s.log.Warn("prompt part released", "service", c.Service, "part", c.Part, "content", c.Fingerprint, "ends", len(c.Ends), "finishes", len(c.Finishes))
	case c.Kind == suspect.KindPart:
		s.log.Warn("prompt part blocked", "service", c.Service, "part", c.Part, "content", c.Fingerprint, "ends", len(c.Ends), "finishes", len(c.Finishes), "replicas", c.Replicas())
	case change.After == suspect.Allowed:
		s.log.Info("request no longer suspected", "content", c.Fingerprint)
	default:
		s.log.Warn("request suspected", "content", c.Fingerprint, "verdict", change.After.String(), "ends", len(c.Ends), "replicas", c.Replicas())
	}
}

// NextBlock returns a channel that is closed when this node learns that a cause is blocked.
func (s *Suspects) NextBlock() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.nextBlock
}

func (s *Suspects) announceBlock() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.nextBlock)
	s.nextBlock = make(chan struct{})
}

// owners returns the nodes that grant the runs of a watched cause; they also collect the evidence about a request.
func (s *Suspects) owners(f site.Fingerprint) []control.Member {
	return control.Owners(s.members.View().Working(), ownerDutyPrefix+f.String(), ownerCount)
}

// collectors returns the nodes that collect the evidence about a cause. That about the parts of one service is collected
// by the same nodes, as it takes all of it to find out which part explains the ends.
func (s *Suspects) collectors(c suspect.Cause) []control.Member {
	if c.Kind == suspect.KindPart {
		return s.partCollectors(c.Service)
	}
	return s.owners(c.Fingerprint)
}

// partCollectors returns the nodes that collect the evidence about the parts of a service.
func (s *Suspects) partCollectors(service string) []control.Member {
	return control.Owners(s.members.View().Working(), partDutyPrefix+service, ownerCount)
}

// otherAddrs returns the addresses of some nodes but for this one.
func (s *Suspects) otherAddrs(list []control.Member) (addrs []netip.AddrPort) {
	for _, m := range list {
		if m.Name != s.self.Name {
			addrs = append(addrs, m.Peer)
		}
	}
	return addrs
}

// Status is the part of a node's status that Suspects reports.
type Status struct {
	Ends        int64 `json:"ends"`
	Unannounced int64 `json:"ends_untold"`
	Watched     int   `json:"watched"`
	Blocked     int   `json:"blocked"`
	// BlockedParts is the number of parts of prompts that are blocked.
	BlockedParts int `json:"blocked_parts"`
}

// Status returns the current counts.
func (s *Suspects) Status() Status {
	n := s.register.Count()
	return Status{
		Ends:        s.metrics.ends.Load(),
		Unannounced: s.metrics.unannounced.Load(),
		Watched:     n.WatchedRequests,
		Blocked:     n.BlockedRequests,

		BlockedParts: n.BlockedParts,
	}
}
