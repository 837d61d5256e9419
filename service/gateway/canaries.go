package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"maps"
	"net/netip"
	"slices"
	"strconv"
	"time"

	"github.com/drumpath/drumpath/pkg/boottime"
	"github.com/drumpath/drumpath/pkg/canary"
	"github.com/drumpath/drumpath/pkg/control"
	"github.com/drumpath/drumpath/pkg/history"
	"github.com/drumpath/drumpath/pkg/locks"
	"github.com/drumpath/drumpath/pkg/route"
	"github.com/drumpath/drumpath/pkg/site"
	"github.com/drumpath/drumpath/service/peer"
)

// While a version of a service's software is rolled out, one node, the owner, collects what all
// nodes have seen of both versions and decides the share of the new one and the verdict. Each
// node reports to the owner, whose answer is what holds now. The final state is agreed through
// the platform's store: it is written only if no other node has written one. A node that has
// not heard the owner lately sends nothing to the new version, so nodes that are cut off or have
// just started stay within its share.
const (
	// methodCanaryReport reports a node's counts to the owner of a roll-out.
	methodCanaryReport = "gateway.canary_report"
	// noteCanary tells all nodes a decision that can't wait for their next reports.
	noteCanary = "gateway.canary"
	// canaryDuty is the prefix of the duty of leading a service's roll-out.
	canaryDuty = "canary/"
	// canaryInterval is the period of step, and the least pause between two reports of a node;
	// decideInterval is the pause between two looks of the owner at all reports.
	canaryInterval = 250 * time.Millisecond
	decideInterval = 500 * time.Millisecond
	// reportIntervalPerNode and maxReportInterval set the pause between two reports: a node of a
	// large fleet reports less often, so that the owner's load is bounded.
	reportIntervalPerNode = 1500 * time.Microsecond
	maxReportInterval     = 1500 * time.Millisecond
	// takeoverDelay is how long a node that takes over collects reports before it decides.
	takeoverDelay = maxReportInterval + canaryInterval
	// canaryCallTimeout limits a report.
	canaryCallTimeout = 500 * time.Millisecond
	// decisionMaxAge is the age from which a decision is no longer followed: two reports may
	// have got lost.
	decisionMaxAge = 2 * maxReportInterval
	// completedTerm is how long only the new version is used after a roll-out was completed.
	// The replicas of the old one stop at once; their rows go some seconds later.
	completedTerm = 10 * time.Second
	// statusRetryDelay is the pause after a failed read or write of a roll-out's state.
	statusRetryDelay = 500 * time.Millisecond
	// restateDelay times its rank is how long a node waits until it checks that a final state is written
	// once the store has come back from a copy. Nodes above maxRestateRank leave it to the others.
	restateDelay   = 300 * time.Millisecond
	maxRestateRank = 4
)

// canaries takes part in the roll-outs of versions of services' software.
type canaries struct {
	self    control.Member
	members *control.Members
	store   Store
	codec   Codec
	client  *peer.Client
	notify  func(d canaryDecision) // Sends a decision to all nodes.
	limits  canary.Limits
	log     *slog.Logger
	// incarnation distinguishes this run of the node from earlier ones. Unlike that of its
	// member record it never changes.
	incarnation uint64

	// rewriteTime is how long after the store has come back from a copy operators may have to write
	// orders again.
	rewriteTime time.Duration

	mu       locks.Mutex
	rollouts map[string]*canaryRollout // By service.
	// removed are the orders that were removed, without their versions, and unclear those that may be
	// older ones of a copy of the store; both by service.
	removed map[string]site.RolloutOrder
	unclear map[string]site.RolloutOrder
}

// canaryRollout is a roll-out as this node knows it.
type canaryRollout struct {
	order     site.RolloutOrder
	since     time.Time // When the order was given, as far as known.
	decision  canaryDecision
	decidedAt time.Time // When the decision was last heard.
	stats     canary.Stats
	// oldInFlight is the number of this node's requests in flight at replicas of other versions.
	oldInFlight int
	reportAt    time.Time
	owner       *canaryOwner // Nil on other nodes.
	// statedFor is the position of the order when its final state was last known to be written, and
	// restateAt when this node checks that, zero if it does not.
	statedFor history.Position
	restateAt time.Time
}

// canaryOwner is the state of the node that leads a roll-out.
type canaryOwner struct {
	controller *canary.Controller
	reports    map[string]canaryReport // By node and start of the node.
	// written is the state in the platform's store as far as known, and position that of its
	// row.
	read     bool
	written  site.RolloutState
	hasRow   bool
	position history.Position
	retryAt  time.Time
	decideAt time.Time // When to look at the reports again.
}

// canaryReport is a node's report to the owner.
type canaryReport struct {
	Service     string           `json:"service"`
	Order       history.Position `json:"order"` // Of the order's row.
	From        string           `json:"from"`
	Incarnation uint64           `json:"incarnation"`
	ElapsedMS   int64            `json:"elapsed_ms"`
	Stats       canary.Stats     `json:"stats"`
	OldInFlight int              `json:"old_in_flight"`

	receivedAt time.Time
}

// canaryDecision is what holds for a roll-out.
type canaryDecision struct {
	Service   string            `json:"service"`
	Order     history.Position  `json:"order"` // Of the order's row.
	Stage     int               `json:"stage"`
	State     site.RolloutState `json:"state"`
	ElapsedMS int64             `json:"elapsed_ms"`
	Why       string            `json:"why,omitempty"`
	// Relay asks the receiver to forward the decision in its hall.
	Relay bool `json:"relay,omitempty"`
}

// errNotOwner is the answer of a node that does not lead a roll-out.
var errNotOwner = errors.New("this node does not lead the roll-out")

func newCanaries(self control.Member, members *control.Members, store Store, codec Codec, client *peer.Client, share float64, log *slog.Logger) *canaries {
	return &canaries{
		self:    self,
		members: members,
		store:   store,
		codec:   codec,
		client:  client,
		notify:  func(canaryDecision) {},
		limits:  canary.Limits{Share: share},
		log:     log,

		incarnation: members.Self().Incarnation,

		rollouts: map[string]*canaryRollout{},
		removed:  map[string]site.RolloutOrder{},
		unclear:  map[string]site.RolloutOrder{},
	}
}

// applyOrder takes in an operator's order, or its removal; listed is set for a row of a listing of the whole table.
func (c *canaries) applyOrder(o site.RolloutOrder, listed bool, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.unclear, o.Service)
	known, old := c.knownOrder(o.Service)
	switch canary.CompareOrder(&known, &o, c.store.Eras().IsSettled(now, c.rewriteTime), listed) {
	case canary.OrderUnchanged:
		return
	case canary.OrderRewritten:
		c.rebase(old, o)
		return
	case canary.OrderUnclear:
		c.unclear[o.Service] = o
		return
	}
	c.setOrder(o, now)
}

// knownRollout is what a node knows of a roll-out.
type knownRollout struct {
	Service    string            `json:"service"`
	Version    string            `json:"version,omitempty"` // "" if the order was removed.
	DurationMS int64             `json:"duration_ms,omitempty"`
	Order      history.Position  `json:"order"` // Of the order's row.
	State      site.RolloutState `json:"state,omitempty"`
	// EndedMS is for how many milliseconds it is known to have ended, 0 if that is not known.
	EndedMS int64 `json:"ended_ms,omitempty"`
}

func (k *knownRollout) order() site.RolloutOrder {
	return site.RolloutOrder{Service: k.Service, Version: k.Version, Duration: time.Duration(k.DurationMS) * time.Millisecond, Position: k.Order}
}

// known lists the roll-outs that this node knows, and the orders that were removed.
func (c *canaries) known(now time.Time) (list []knownRollout) {
	c.mu.Lock()
	defer c.mu.Unlock()
	add := func(o *site.RolloutOrder, state site.RolloutState, endedMS int64) {
		list = append(list, knownRollout{Service: o.Service, Version: o.Version, DurationMS: o.Duration.Milliseconds(), Order: o.Position, State: state, EndedMS: endedMS})
	}
	for _, r := range c.rollouts {
		var endedMS int64
		if r.decision.State.Final() && !r.decidedAt.IsZero() {
			endedMS = now.Sub(r.decidedAt).Milliseconds()
		}
		add(&r.order, r.decision.State, endedMS)
	}
	for _, o := range c.removed {
		add(&o, 0, 0)
	}
	return list
}

// learn takes in what another node knows of a roll-out, unless this node knows its newest order.
func (c *canaries) learn(k knownRollout, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if known, _ := c.knownOrder(k.Service); known.Position.Before(k.Order) {
		c.setOrder(k.order(), now)
	}
	if r := c.rollouts[k.Service]; r != nil && r.order.Position == k.Order && k.State.Final() {
		r.decision.State, r.decidedAt = k.State, now.Add(-time.Duration(max(0, k.EndedMS))*time.Millisecond)
	}
}

// knownOrder returns the last known order of a service and its roll-out, nil if the order was removed; the
// caller holds mu.
func (c *canaries) knownOrder(service string) (o site.RolloutOrder, r *canaryRollout) {
	if r = c.rollouts[service]; r != nil {
		return r.order, r
	}
	return c.removed[service], nil
}

// setOrder replaces a service's order; the caller holds mu.
func (c *canaries) setOrder(o site.RolloutOrder, now time.Time) {
	delete(c.removed, o.Service)
	delete(c.rollouts, o.Service)
	if o.Version == "" {
		c.removed[o.Service] = o
		return
	}
	c.rollouts[o.Service] = &canaryRollout{
		order:    o,
		since:    now,
		decision: canaryDecision{Service: o.Service, Order: o.Position, Stage: canary.StageHalted},
		stats:    canary.Stats{},
	}
	c.log.Info("roll-out ordered", "service", o.Service, "software", o.Version, "duration", o.Duration, "position", o.Position)
}

// rebase goes on with an order that the store has at another position; old is nil for a removed one. The caller
// holds mu.
func (c *canaries) rebase(old *canaryRollout, o site.RolloutOrder) {
	if old == nil {
		c.removed[o.Service] = o
		return
	}
	old.order.Position, old.decision.Order = o.Position, o.Position
	if old.owner != nil {
		old.owner.read = false
	}
	if !old.decision.State.Final() {
		return
	}
	rank := control.Rank(c.members.View().Alive(), canaryDuty+o.Service, c.self.Name)
	if rank > maxRestateRank {
		old.statedFor = o.Position
		return
	}
	old.restateAt = boottime.Now().Add(time.Duration(rank+1) * restateDelay)
}

// applyUnclear applies the orders that were not written again in time.
func (c *canaries) applyUnclear(now time.Time) {
	if !c.store.Eras().IsSettled(now, c.rewriteTime) {
		return
	}
	c.mu.Lock()
	orders := slices.Collect(maps.Values(c.unclear))
	c.mu.Unlock()
	for _, o := range orders {
		c.applyOrder(o, true, now)
	}
}

// restate writes the final states of roll-outs again that the store has lost.
func (c *canaries) restate(ctx context.Context, now time.Time) {
	c.mu.Lock()
	var due []*canaryRollout
	for _, r := range c.rollouts {
		if r.decision.State.Final() && r.statedFor != r.order.Position && !r.restateAt.IsZero() && !now.Before(r.restateAt) {
			due = append(due, r)
			r.restateAt = now.Add(statusRetryDelay)
		}
	}
	c.mu.Unlock()
	for _, r := range due {
		c.restateOne(ctx, r)
	}
}

func (c *canaries) restateOne(ctx context.Context, r *canaryRollout) {
	c.mu.Lock()
	order, state := r.order, r.decision.State
	c.mu.Unlock()
	s, row, err := c.loadStatus(ctx, order.Service)
	if err == nil && (s.Version != order.Version || s.State != state || row.Position.Before(order.Position)) {
		_, err = c.writeStatus(ctx, &order, state, row.Position)
		c.log.Info("state of roll-out written again", "service", order.Service, "software", order.Version, "state", state.String(), "err", err)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if err == nil {
		r.statedFor = order.Position
	}
}

// rule returns which replicas a request may run on; it allows all if no roll-out concerns its
// service.
func (c *canaries) rule(service, requestID string, p *route.Pool, now time.Time) route.SoftwareRule {
	c.mu.Lock()
	r := c.rollouts[service]
	if r == nil || r.decision.State == site.RolloutCompleted && now.Sub(r.decidedAt) >= completedTerm {
		c.mu.Unlock()
		return route.SoftwareRule{}
	}
	rule := route.SoftwareRule{Version: r.order.Version, Excluded: !r.usesNew(requestID, c.limits, now)}
	c.mu.Unlock()
	if rule.Excluded && !p.HasOtherSoftware(rule.Version) {
		return route.SoftwareRule{} // There is nothing else to run on.
	}
	return rule
}

// mayGoOn reports whether streams that a version has begun may go on at it. Once a roll-out has ended, the
// replicas of the other version stop, or get nothing more as they are bad.
func (c *canaries) mayGoOn(service, software string, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.rollouts[service]
	switch {
	case r == nil:
		return true
	case r.decision.State == site.RolloutCompleted:
		return software == r.order.Version || now.Sub(r.decidedAt) >= completedTerm
	default:
		return r.decision.State != site.RolloutRolledBack || software != r.order.Version
	}
}

// usesNew reports whether a request goes to the new version.
func (r *canaryRollout) usesNew(requestID string, limits canary.Limits, now time.Time) bool {
	switch r.decision.State {
	case site.RolloutCompleted:
		return true
	case site.RolloutRolledBack:
		return false
	default:
		fresh := !r.decidedAt.IsZero() && now.Sub(r.decidedAt) < decisionMaxAge
		return fresh && canary.UsesNewVersion(requestID, canary.ShareOf(r.decision.Stage, limits))
	}
}

// record counts the outcome of a request.
func (c *canaries) record(service string, o *canary.Outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r := c.rollouts[service]; r != nil && !r.decision.State.Final() {
		r.stats.Add(o)
	}
}

// begin counts an attempt at a replica as in flight; ok is false if no roll-out of its service is
// running.
func (c *canaries) begin(u *site.Upstream) (a canaryAttempt, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.rollouts[u.Service]
	if r == nil || r.decision.State.Final() {
		return a, false
	}
	if u.Software == r.order.Version {
		return canaryAttempt{arm: canary.ArmNew, end: func() {}}, true
	}
	r.oldInFlight++
	return canaryAttempt{arm: canary.ArmOld, end: func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		r.oldInFlight--
	}}, true
}

// step leads the roll-outs that this node owns and reports to the owners of the others; the
// timer service calls it.
func (c *canaries) step(ctx context.Context) {
	now := boottime.Now()
	c.applyUnclear(now)
	c.restate(ctx, now)
	for _, service := range c.running() {
		owner, ok := c.owner(service)
		if ok && owner.Name != c.self.Name {
			c.reportTo(ctx, owner.Peer, service)
			continue
		}
		c.lead(ctx, service)
	}
}

// running lists the services with a roll-out whose final state this node does not know.
func (c *canaries) running() (services []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for service, r := range c.rollouts {
		if !r.decision.State.Final() {
			services = append(services, service)
		}
	}
	return services
}

// owner returns the node that leads a service's roll-out.
func (c *canaries) owner(service string) (control.Member, bool) {
	return control.Owner(control.WithWidestLinks(c.members.View().Alive()), canaryDuty+service)
}

// reportInterval is the pause between two reports of a node.
func (c *canaries) reportInterval() time.Duration {
	return min(maxReportInterval, time.Duration(c.members.View().Counts().Alive)*reportIntervalPerNode)
}

// reportTo reports this node's counts to the owner of a roll-out and follows its answer.
func (c *canaries) reportTo(ctx context.Context, owner netip.AddrPort, service string) {
	now := boottime.Now()
	c.mu.Lock()
	r := c.rollouts[service]
	due := r != nil && !now.Before(r.reportAt)
	var body []byte
	var err error
	if due {
		r.reportAt = now.Add(c.reportInterval())
		r.owner = nil
		body, err = json.Marshal(c.ownReport(r, now))
	}
	c.mu.Unlock()
	if !due {
		return
	}
	var d canaryDecision
	if err == nil {
		err = c.client.CallWithin(ctx, canaryCallTimeout, owner, methodCanaryReport, json.RawMessage(body), &d)
	}
	if err != nil {
		c.log.Debug("roll-out report not answered", "service", service, "peer", owner, "err", err)
		return
	}
	c.follow(d, boottime.Now())
}

// ownReport returns this node's report; the caller holds mu.
func (c *canaries) ownReport(r *canaryRollout, now time.Time) canaryReport {
	return canaryReport{
		Service:     r.order.Service,
		Order:       r.order.Position,
		From:        c.self.Name,
		Incarnation: c.incarnation,
		ElapsedMS:   now.Sub(r.since).Milliseconds(),
		Stats:       r.stats,
		OldInFlight: r.oldInFlight,
	}
}

// follow takes in a decision of the owner.
func (c *canaries) follow(d canaryDecision, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.rollouts[d.Service]
	if r == nil || r.order.Position != d.Order || r.decision.State.Final() {
		return
	}
	if since := now.Add(-time.Duration(d.ElapsedMS) * time.Millisecond); since.Before(r.since) {
		r.since = since
	}
	if d.Stage != r.decision.Stage || d.State != r.decision.State {
		c.log.Info("roll-out advanced", "service", d.Service, "software", r.order.Version, "stage", d.Stage,
			"share", canary.ShareOf(d.Stage, c.limits), "state", d.State.String(), "why", d.Why)
	}
	r.decision, r.decidedAt = d, now
	if d.State.Final() {
		r.statedFor = d.Order
	}
}

// serveReport handles methodCanaryReport.
func (c *canaries) serveReport(_ context.Context, report canaryReport) (d canaryDecision, err error) {
	now := boottime.Now()
	report.receivedAt = now
	owner, ok := c.owner(report.Service)
	if !ok || owner.Name != c.self.Name {
		return d, errNotOwner
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.rollouts[report.Service]
	if r == nil || r.order.Position != report.Order {
		return d, errNotOwner
	}
	o := c.ownerOf(r, now)
	o.reports[report.key()] = report
	if since := now.Add(-time.Duration(report.ElapsedMS) * time.Millisecond); since.Before(r.since) {
		r.since = since
	}
	if !r.decision.State.Final() && (r.decidedAt.IsZero() || now.Sub(r.decidedAt) >= decisionMaxAge) {
		return d, errNotOwner // Nothing is decided yet.
	}
	d = r.decision
	d.ElapsedMS = now.Sub(r.since).Milliseconds()
	return d, nil
}

// key identifies the start of the node that reports: its counts begin anew with each.
func (r *canaryReport) key() string {
	return r.From + "@" + strconv.FormatUint(r.Incarnation, 10)
}

// ownerOf returns the state of a roll-out's owner; the caller holds mu. A node that takes over
// decides nothing before the others have reported: what they have seen of the new version may be
// a reason to stop.
func (c *canaries) ownerOf(r *canaryRollout, now time.Time) *canaryOwner {
	if r.owner == nil {
		r.owner = &canaryOwner{controller: canary.NewController(r.order), reports: map[string]canaryReport{}}
		if now.Sub(r.since) >= decideInterval {
			r.owner.decideAt = now.Add(takeoverDelay)
		}
	}
	return r.owner
}

// lead leads a roll-out that this node owns.
func (c *canaries) lead(ctx context.Context, service string) {
	now := boottime.Now()
	c.mu.Lock()
	r := c.rollouts[service]
	if r == nil || r.decision.State.Final() {
		c.mu.Unlock()
		return
	}
	o := c.ownerOf(r, now)
	order, readRow, early := r.order, !o.read && !now.Before(o.retryAt), now.Sub(r.since) < canaryInterval || now.Before(o.decideAt)
	c.mu.Unlock()
	if readRow {
		c.readStatus(ctx, order, o)
	}
	if early {
		return // The reports of the others tell how old the order is.
	}
	c.mu.Lock()
	if o.written.Final() { // A former owner has ended the roll-out.
		d := canaryDecision{Service: service, Order: order.Position, State: o.written, Why: "agreed before"}
		c.mu.Unlock()
		c.conclude(d, now)
		return
	}
	o.decideAt = now.Add(decideInterval)
	d := c.decide(r, o, now)
	c.mu.Unlock()
	if !o.hasRow || d.State.Final() {
		c.agree(ctx, order, o, d)
	}
}

// decide has the controller decide on the current reports; the caller holds mu. A final state is
// not followed before it is agreed.
func (c *canaries) decide(r *canaryRollout, o *canaryOwner, now time.Time) canaryDecision {
	own := c.ownReport(r, now)
	own.receivedAt = now
	o.reports[own.key()] = own
	report := canary.Report{Elapsed: now.Sub(r.since), Total: canary.Stats{}}
	for _, x := range o.reports {
		report.Total.Plus(x.Stats)
		if now.Sub(x.receivedAt) < decisionMaxAge {
			report.OldInFlight += x.OldInFlight
		}
	}
	next := o.controller.Step(&report)
	d := canaryDecision{
		Service: r.order.Service, Order: r.order.Position, Stage: next.Stage, State: next.State, Why: next.Why,
		ElapsedMS: report.Elapsed.Milliseconds(),
	}
	halted := d.Stage != r.decision.Stage && d.Stage == canary.StageHalted
	r.decision = d
	r.decision.State = site.RolloutRunning
	r.decidedAt = now
	if halted {
		c.log.Warn("roll-out halted", "service", d.Service, "software", r.order.Version, "why", d.Why)
		go c.notify(r.decision)
	}
	return d
}

// readStatus reads the state of a roll-out that is already agreed.
func (c *canaries) readStatus(ctx context.Context, order site.RolloutOrder, o *canaryOwner) {
	s, row, err := c.loadStatus(ctx, order.Service)
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		o.retryAt = boottime.Now().Add(statusRetryDelay)
		c.log.Warn("state of roll-out not read", "service", order.Service, "err", err)
		return
	}
	o.read, o.position = true, row.Position
	// A row from before the order is that of an earlier roll-out.
	if s.Version == order.Version && order.Position.Before(row.Position) {
		o.written, o.hasRow = s.State, true
	}
}

// loadStatus reads the state of a service's roll-out. Without a row, and with one that can't be decoded, it is
// empty but for the row's position.
func (c *canaries) loadStatus(ctx context.Context, service string) (s site.RolloutStatus, row site.Row, err error) {
	key := c.codec.RolloutStatusKey(service)
	l, err := c.store.ListPrefix(ctx, site.TableStatus, key)
	if err != nil {
		return s, row, err
	}
	row, found := l.Find(key)
	if !found {
		return s, row, nil
	}
	s, err = c.codec.RolloutStatus(row)
	if err != nil {
		c.log.Error("state of roll-out can't be decoded", "service", service, "err", err)
	}
	return s, row, nil
}

// writeStatus writes the state of a roll-out if its row has the expected position.
func (c *canaries) writeStatus(ctx context.Context, order *site.RolloutOrder, state site.RolloutState, expected history.Position) (site.Listing, error) {
	value, err := c.codec.EncodeRolloutStatus(&site.RolloutStatus{Service: order.Service, Version: order.Version, State: state})
	if err != nil {
		return site.Listing{}, err
	}
	return c.store.Put(ctx, site.TableStatus, c.codec.RolloutStatusKey(order.Service), value, expected)
}

// agree writes the state of a roll-out to the platform's store, unless another node has written
// one since this one read it.
func (c *canaries) agree(ctx context.Context, order site.RolloutOrder, o *canaryOwner, d canaryDecision) {
	now := boottime.Now()
	c.mu.Lock()
	ready := o.read && !now.Before(o.retryAt)
	expected := o.position
	c.mu.Unlock()
	if !ready {
		return
	}
	l, err := c.writeStatus(ctx, &order, d.State, expected)
	c.mu.Lock()
	if err != nil {
		o.read = false // Another node may have written, or this write may yet be done.
		o.retryAt = now.Add(statusRetryDelay)
		c.mu.Unlock()
		c.log.Warn("state of roll-out not written", "service", order.Service, "state", d.State.String(), "err", err)
		return
	}
	o.hasRow, o.position, o.written = true, l.Position, d.State
	c.mu.Unlock()
	if d.State.Final() {
		c.conclude(d, boottime.Now())
	}
}

// conclude follows a final state and tells it to all nodes.
func (c *canaries) conclude(d canaryDecision, now time.Time) {
	c.follow(d, now)
	c.notify(d)
	time.AfterFunc(updateResendDelay, func() { c.notify(d) })
}

// handleNote handles noteCanary.
func (c *canaries) handleNote(params json.RawMessage) (d canaryDecision, ok bool) {
	if err := json.Unmarshal(params, &d); err != nil {
		c.log.Debug("roll-out notification can't be decoded", "err", err)
		return d, false
	}
	c.follow(d, boottime.Now())
	return d, true
}
