package origins

import (
	"context"
	"log/slog"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/drumpath/drumpath/pkg/boottime"
	"github.com/drumpath/drumpath/pkg/control"
	"github.com/drumpath/drumpath/pkg/history"
	"github.com/drumpath/drumpath/pkg/locks"
	"github.com/drumpath/drumpath/pkg/origin"
	"github.com/drumpath/drumpath/pkg/site"
	"github.com/drumpath/drumpath/pkg/tablestore"
)

// Store is the platform's store, which holds the lists of versions.
type Store interface {
	List(ctx context.Context, t site.Table) (site.Listing, error)
	// Put writes a row that has the expected position. If the row has another one, the
	// error wraps site.ErrConflict or site.ErrEraEnded.
	Put(ctx context.Context, t site.Table, key string, value []byte, expected history.Position) (site.Listing, error)
	// Eras returns the eras that the store's answers have named.
	Eras() *history.Eras
}

// Notifier sends notes to other nodes. Notes may be lost.
type Notifier interface {
	// SendNote sends a note to some nodes and returns the bytes sent.
	SendNote(to []netip.AddrPort, method string, params any) (sent int)
	// Recipients returns the nodes to send a broadcast to: those that get it directly, and relays
	// that forward it to their halls. Each try has other relays.
	Recipients(try int) (direct, relays []netip.AddrPort)
	// HallPeers returns the other nodes of this node's hall.
	HallPeers() []netip.AddrPort
}

// PeerClient calls other nodes; peer.Client implements it.
type PeerClient interface {
	CallWithin(ctx context.Context, within time.Duration, addr netip.AddrPort, method string, params, result any) error
}

// Fleet tells what the node knows of the replicas.
type Fleet interface {
	// Services lists the services whose streams may go on at another replica.
	Services() []string
	// SharesRoutes reports whether some route sends streams to a service and to others.
	SharesRoutes(service string) bool
	// Software lists the versions of the software that the replicas of a service have.
	Software(service string) []string
	// StoreSilent reports whether the platform's store was not reached lately.
	StoreSilent(now time.Time) bool
	// FirstStart reports whether this node had no earlier process.
	FirstStart() bool
}

// StepInterval is the period of Step.
const StepInterval = 100 * time.Millisecond

// Origins holds what this node knows of the streams that have begun.
type Origins struct {
	self     control.Member
	members  *control.Members
	store    Store
	client   PeerClient
	notifier Notifier
	fleet    Fleet
	log      *slog.Logger
	records  *origin.Records
	counts   counts

	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu          locks.Mutex
	register    register
	reads       readBatch
	breaker     *tablestore.Breaker
	replication replication
	lookups     lookups
	forgotAt    time.Time
}

// counts are for metrics.
type counts struct {
	sentRecords atomic.Int64 // Records sent to other nodes.
	sentBytes   atomic.Int64
	asked       atomic.Int64 // Attempts that other nodes were asked for.
	found       atomic.Int64 // Of those, the ones that one of them had a record of.
	storeReads  atomic.Int64
	storeWrites atomic.Int64
	goesOn      atomic.Int64 // Streams that clients took up, by verdict.
	unknown     atomic.Int64
	unreachable atomic.Int64
}

// New returns an Origins without records. SetNotifier and SetFleet must be called before any other method.
func New(self control.Member, members *control.Members, store Store, client PeerClient, log *slog.Logger) *Origins {
	o := &Origins{
		self:    self,
		members: members,
		store:   store,
		client:  client,
		log:     log,
		records: origin.NewRecords(),
		breaker: tablestore.NewBreaker(),
	}
	o.register.rows = map[string]versionRow{}
	o.register.before = map[string]origin.Versions{}
	o.register.changed = make(chan struct{})
	o.register.lastUsed = map[serviceVersion]time.Time{}
	o.register.dueAt = map[string]time.Time{}
	o.lookups.pending = map[origin.Key]*lookup{}
	o.ctx, o.cancel = context.WithCancel(context.Background())
	store.Eras().Subscribe(o.handleEra)
	return o
}

// SetNotifier sets how notes are sent to other nodes.
func (o *Origins) SetNotifier(n Notifier) { o.notifier = n }

// SetFleet sets where the versions of the replicas are known from.
func (o *Origins) SetFleet(f Fleet) { o.fleet = f }

// Close ends all calls and waits for them.
func (o *Origins) Close() {
	o.cancel()
	o.wg.Wait()
}

// Begin records that the first event of a stream is about to be passed on for an attempt, as a replica wrote it.
// The client may take the stream up until the given time.
func (o *Origins) Begin(k origin.Key, begun origin.Origin, replica string, until time.Time) {
	o.records.Add(k, origin.Record{Origin: begun, BegunAt: boottime.Now(), Until: until.Add(returnSlack), Replica: replica})
	if o.replicates(begun.Service) {
		o.replicateSoon()
	}
}

// HandleOtherSoftware voids what was recorded of a replica lately, as it was started again under its ID with
// another version of its software, and its row showed that late.
func (o *Origins) HandleOtherSoftware(replica string) {
	now := boottime.Now()
	keys := o.records.Void(replica, now.Add(-listDelay))
	holders, _ := o.holders()
	for part := range slices.Chunk(keys, maxKeysPerNote) {
		o.notifier.SendNote(holders, NoteRecords, recordsNote{From: o.self.Name, Voided: packKeys(part)})
	}
}

// listDelay is how long a replica may have run before nodes see its row: up to three of its heartbeats, and the
// time until the list is read.
const listDelay = 10 * time.Second

// returnSlack is added to the time until which a client may take up a stream, as its deadline does not
// include the time that its request takes to arrive.
const returnSlack = 2 * time.Second

// Query is a stream that a client takes up.
type Query struct {
	// Named is the attempt that the client names, nil if it names none.
	Named *origin.Key
	// Service is the only service that the route sends requests to, "" if there are several.
	Service string
}

// Answer is what is known of it.
type Answer struct {
	origin.Origin
	Verdict origin.Verdict
	// KnownBy is the node whose record it is, or knownByVersions.
	KnownBy string
	// Age is the time since the stream began, 0 if it is not known.
	Age time.Duration
}

// knownByVersions is Answer.KnownBy if the service has only one version.
const knownByVersions = "only version"

// Resolve finds out where a stream began.
func (o *Origins) Resolve(ctx context.Context, q Query) (a Answer) {
	e := origin.Evidence{Service: q.Service}
	defer func() { o.countVerdict(a.Verdict) }()
	if q.Named != nil {
		if rec, ok := o.records.Find(*q.Named, boottime.Now()); ok {
			e.Record = &rec
			return o.answer(&e)
		}
	}
	steps := []func(context.Context, *Query, *origin.Evidence){o.readVersions, o.askPeers}
	if o.fleet.StoreSilent(boottime.Now()) {
		slices.Reverse(steps)
	}
	for _, step := range steps {
		step(ctx, &q, &e)
		if a = o.answer(&e); a.Verdict == origin.GoesOn {
			return a
		}
	}
	return a
}

// readVersions reads the versions of the only service that the stream may have begun at, unless it is
// known to have several.
func (o *Origins) readVersions(ctx context.Context, q *Query, e *origin.Evidence) {
	if q.Service == "" || o.severalVersions(q.Service) {
		return
	}
	e.Versions, e.Complete, e.ReadVersions = o.versionsNow(ctx, q.Service)
	e.Unasked = e.Unasked || !e.ReadVersions && o.alone()
}

// askPeers asks other nodes for the record of the attempt that the client names.
func (o *Origins) askPeers(ctx context.Context, q *Query, e *origin.Evidence) {
	if q.Named == nil {
		return
	}
	rec, found, asked := o.ask(ctx, *q.Named)
	if found {
		e.Record = &rec
	}
	e.Unasked = !asked
}

// alone reports whether this node reaches no other one though there are some.
func (o *Origins) alone() bool {
	counts := o.members.View().Counts()
	return counts.All > 1 && counts.Working <= 1
}

func (o *Origins) answer(e *origin.Evidence) (a Answer) {
	a.Origin, a.Verdict = e.Decide()
	switch {
	case a.Verdict != origin.GoesOn:
	case e.Record == nil:
		a.KnownBy = knownByVersions
	default:
		a.Age = boottime.Since(e.Record.BegunAt)
		if a.KnownBy = e.Record.From; a.KnownBy == "" {
			a.KnownBy = o.self.Name
		}
	}
	return a
}

func (o *Origins) countVerdict(v origin.Verdict) {
	switch v {
	case origin.GoesOn:
		o.counts.goesOn.Add(1)
	case origin.Unknown:
		o.counts.unknown.Add(1)
	case origin.Unreachable:
		o.counts.unreachable.Add(1)
	}
}

// Step keeps the lists of versions and sends records that their holders lack; the timer service calls it.
func (o *Origins) Step(ctx context.Context) {
	now := boottime.Now()
	o.stepRegister(ctx, now)
	o.forgetRecords(now)
	if o.replicatesAny() {
		o.replicateSoon()
	}
}

// forgetRecords removes old records from time to time.
func (o *Origins) forgetRecords(now time.Time) {
	o.mu.Lock()
	due := now.Sub(o.forgotAt) >= forgetInterval
	if due {
		o.forgotAt = now
	}
	o.mu.Unlock()
	if due {
		o.records.Forget(now)
	}
}

const forgetInterval = time.Second

// Status is the exported state.
type Status struct {
	Own         int              `json:"own"`
	Held        int              `json:"held"`
	Evicted     int64            `json:"evicted"`
	SentRecords int64            `json:"records_sent"`
	SentBytes   int64            `json:"bytes_sent"`
	Asked       int64            `json:"asked"`
	Found       int64            `json:"found"`
	StoreReads  int64            `json:"store_reads"`
	StoreWrites int64            `json:"store_writes"`
	Verdicts    map[string]int64 `json:"taken_up"`
	Versions    map[string]int   `json:"versions"`
	// Unconfirmed lists the services whose lists of versions may lack some.
	Unconfirmed []string `json:"unconfirmed,omitempty"`
}

// Status returns the state for metrics.
func (o *Origins) Status() (s Status) {
	s.Own, s.Held, s.Evicted = o.records.Count()
	s.SentRecords, s.SentBytes = o.counts.sentRecords.Load(), o.counts.sentBytes.Load()
	s.Asked, s.Found = o.counts.asked.Load(), o.counts.found.Load()
	s.StoreReads, s.StoreWrites = o.counts.storeReads.Load(), o.counts.storeWrites.Load()
	s.Verdicts = map[string]int64{
		string(origin.GoesOn):      o.counts.goesOn.Load(),
		string(origin.Unknown):     o.counts.unknown.Load(),
		string(origin.Unreachable): o.counts.unreachable.Load(),
	}
	s.Versions = map[string]int{}
	o.mu.Lock()
	defer o.mu.Unlock()
	for service, row := range o.register.rows {
		s.Versions[service] = len(row.Versions)
		if !o.register.confirmed(service) {
			s.Unconfirmed = append(s.Unconfirmed, service)
		}
	}
	return s
}
