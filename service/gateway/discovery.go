package gateway

import (
	"bytes"
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/netip"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/drumpath/drumpath/pkg/boottime"
	"github.com/drumpath/drumpath/pkg/control"
	"github.com/drumpath/drumpath/pkg/site"
	"github.com/drumpath/drumpath/pkg/timer"
	"github.com/drumpath/drumpath/service/suspects"
)

// Nodes find each other by rows in the platform's store. A node that starts lists those of its
// own data hall, greets them, and reads everything else through them: the list of all nodes and
// the other tables. A node that knew no other would have to read them from the store itself, which
// at a start of a whole fleet multiplies them by the number of nodes. In a large fleet only nodes of the same hall greet
// each other, as greetings of all by all grow with the square of the fleet; nodes of other
// halls count as alive as listed, until probes show otherwise.
const (
	// discoverInterval is how often it is checked whether something is to be written or read.
	discoverInterval = 100 * time.Millisecond
	// rediscoverInterval is how often the list of nodes is read again. In this way two groups
	// that were partitioned when they started find each other.
	rediscoverInterval = 15 * time.Second
	// discoverRetryDelay is the pause after a failed read for a node that knows others:
	// calls to the store are paid for, and it does not need the list soon.
	discoverRetryDelay = 5 * time.Second
	// loneRetryDelay is the pause between reads of a node that knows no other.
	loneRetryDelay = time.Second
	// rewriteSpread times the number of nodes is the time over which they read the list of nodes again,
	// and then write the rows that it lacks, after the store has come back from a copy. All nodes
	// together then make 50 calls a second.
	rewriteSpread = 20 * time.Millisecond
	// maxAnnounceBackoff bounds the pause between attempts to write this node's row.
	maxAnnounceBackoff = 8 * time.Second
	// maxGreeted is the number of nodes up to which all greet each other.
	maxGreeted = 128
	// seedProbeInterval and seedProbeBatches spread greetings, at least minProbeBatch at a
	// time: they are sent within memberResponseTime, with time left for the answers.
	seedProbeInterval = 50 * time.Millisecond
	seedProbeBatches  = 10
	minProbeBatch     = 64
	// joinTimeout bounds how long a node that starts looks for others before it reads the
	// tables, and joinRetryDelay is when it lists its hall again if it has found none.
	joinTimeout    = 700 * time.Millisecond
	joinRetryDelay = 400 * time.Millisecond
	// joinAnswerTime is how long it waits for answers to its greetings.
	joinAnswerTime  = 100 * time.Millisecond
	joinAnswerCheck = 5 * time.Millisecond
	// maxStartDelay bounds how long a node with a narrow link waits as it starts, and
	// startDelayMegabits over the link's rate is that delay: nodes with wide links come first,
	// as the others read through them.
	maxStartDelay      = 300 * time.Millisecond
	startDelayMegabits = 5
)

// earlyReads are the delays after the first read of the list of nodes at which it is read
// again: nodes that start together write their rows over some seconds.
var earlyReads = []time.Duration{time.Second, 3 * time.Second, 8 * time.Second}

// discovery is the state of finding other nodes; nodes.mu guards it.
type discovery struct {
	announced       bool
	nextAnnounce    time.Time // This node's row is not written before this.
	announceBackoff time.Duration
	firstReadAt     time.Time        // When the list of nodes was first read.
	readAt          time.Time        // When it was last read.
	earlyReads      int              // How many of earlyReads are done.
	nextRead        time.Time        // The list of nodes is not read before this.
	unprobed        []netip.AddrPort // Known by address only, probed probeBatch at a time.
	probeBatch      int
	failedSince     time.Time // Since when the list of nodes can't be read, zero if it can.
}

// nodeRow is the row that a node writes so that others find it.
type nodeRow struct {
	Peer     netip.AddrPort `json:"peer"`
	Entry    netip.AddrPort `json:"entry,omitzero"`
	DataHall string         `json:"hall,omitempty"`
	Link     float64        `json:"link,omitempty"`
}

// hallKeys is the prefix of the keys of a hall's rows.
func hallKeys(hall string) string { return hall + "/" }

// nodeName returns the node's name in the key of its row. Nodes of earlier versions write rows
// without their halls.
func nodeName(key string) string { return key[strings.LastIndexByte(key, '/')+1:] }

// join finds other nodes, so that the tables can be read through them.
func (n *nodes) join(ctx context.Context) {
	timer.Sleep(ctx, n.startDelay())
	end := boottime.Now().Add(joinTimeout)
	listing, cancel := context.WithDeadline(ctx, end)
	defer cancel()
	for ctx.Err() == nil {
		listed, restarted, err := n.listHall(listing)
		if err != nil {
			n.log.Warn("nodes of the data hall not listed", "hall", n.self.DataHall, "err", err)
		} else if !restarted {
			n.firstStart.Store(true)
		}
		if listed > 0 {
			n.awaitAnswers(ctx, listed, boottime.Now().Add(joinAnswerTime))
			return
		}
		if restarted || !boottime.Now().Add(joinRetryDelay).Before(end) {
			return
		}
		n.awaitAnswers(ctx, 1, boottime.Now().Add(joinRetryDelay))
	}
}

// startDelay is how long this node waits as it starts.
func (n *nodes) startDelay() time.Duration {
	if n.self.Link <= 0 {
		return 0
	}
	return min(maxStartDelay, time.Duration(startDelayMegabits/n.self.Link*float64(time.Second)))
}

// awaitAnswers waits until count other nodes are known to be alive, or until end.
func (n *nodes) awaitAnswers(ctx context.Context, count int, end time.Time) {
	for ctx.Err() == nil && n.members.View().Counts().Alive <= count && boottime.Now().Before(end) {
		timer.Sleep(ctx, joinAnswerCheck)
	}
}

// listHall lists the nodes of this data hall in the platform's store and greets them. restarted
// is set if this node is listed too: it has run before, and so have the others.
func (n *nodes) listHall(ctx context.Context) (others int, restarted bool, err error) {
	l, err := n.store.ListPrefix(ctx, site.TableNodes, hallKeys(n.self.DataHall))
	if err != nil {
		return 0, false, err
	}
	var unprobed []netip.AddrPort
	for _, r := range l.Rows {
		restarted = restarted || nodeName(r.Key) == n.self.Name
		if m, ok := n.decodeNodeRow(r); ok {
			n.members.AddSeed(m.Peer)
			unprobed = append(unprobed, m.Peer)
		}
	}
	n.greet(unprobed)
	return len(unprobed), restarted, nil
}

// announce writes this node's row to the platform's store; the timer service calls it. Nodes
// that start together write more rows in a second than the store accepts, so failed writes are
// repeated after a random pause, which doubles.
func (n *nodes) announce(ctx context.Context) {
	now := boottime.Now()
	n.mu.Lock()
	if n.discovery.nextAnnounce.IsZero() {
		n.discovery.nextAnnounce = now.Add(n.startDelay())
	}
	due := !n.discovery.announced && !now.Before(n.discovery.nextAnnounce)
	n.mu.Unlock()
	if !due {
		return
	}
	err := n.writeRow(ctx)
	n.mu.Lock()
	defer n.mu.Unlock()
	if err == nil {
		n.discovery.announced = true
		return
	}
	backoff := min(maxAnnounceBackoff, max(time.Second, 2*n.discovery.announceBackoff))
	n.discovery.announceBackoff = backoff
	n.discovery.nextAnnounce = boottime.Now().Add(backoff/2 + rand.N(backoff))
	n.log.Warn("node row not written", "node", n.self.Name, "retry_after", n.discovery.nextAnnounce.Sub(now), "err", err)
}

func (n *nodes) writeRow(ctx context.Context) (err error) {
	defer func() { err = eris.Wrap(err, "write this node's row") }()
	body, err := n.encodeRow()
	if err != nil {
		return err
	}
	return n.store.PutUnconditionally(ctx, site.TableNodes, n.rowKey(), body)
}

// rowKey is the key of this node's row.
func (n *nodes) rowKey() string { return hallKeys(n.self.DataHall) + n.self.Name }

// encodeRow encodes this node's row.
func (n *nodes) encodeRow() ([]byte, error) {
	return json.Marshal(nodeRow{Peer: n.self.Peer, Entry: n.self.Entry, DataHall: n.self.DataHall, Link: n.self.Link})
}

// rewriteLimit is the longest that rewriteDelay returns.
func (n *nodes) rewriteLimit() time.Duration {
	return time.Duration(n.members.View().Counts().All+1) * rewriteSpread
}

// rewriteDelay returns a random delay that spreads the calls of all nodes.
func (n *nodes) rewriteDelay() time.Duration { return rand.N(n.rewriteLimit()) }

// handleEra has the list of nodes read again: the store has come back from a copy, which may lack this node's
// row or have an earlier one.
func (n *nodes) handleEra() {
	nextRead := boottime.Now().Add(n.rewriteDelay())
	n.mu.Lock()
	defer n.mu.Unlock()
	n.discovery.readAt, n.discovery.nextRead = time.Time{}, nextRead
}

// checkOwnRow has this node's row written again if the whole list of nodes lacks it.
func (n *nodes) checkOwnRow(rows []site.Row) {
	body, err := n.encodeRow()
	if err != nil {
		n.log.Error("node row not encoded", "node", n.self.Name, "err", err)
		return
	}
	listing := site.Listing{Rows: rows}
	if own, found := listing.Find(n.rowKey()); found && bytes.Equal(own.Value, body) {
		return
	}
	nextAnnounce := boottime.Now().Add(n.rewriteDelay())
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.discovery.announced {
		n.discovery.announced, n.discovery.announceBackoff, n.discovery.nextAnnounce = false, 0, nextAnnounce
		n.log.Info("node row is missing, to be written again", "node", n.self.Name)
	}
}

// discover reads the list of nodes if that is due; the timer service calls it.
func (n *nodes) discover(ctx context.Context) {
	now := boottime.Now()
	if !n.readDue(now) {
		return
	}
	known := n.members.View().Counts().Working
	err := n.nodeTable.Poll(ctx)
	n.mu.Lock()
	d := &n.discovery
	wasReadable := d.failedSince.IsZero()
	failedFor := now.Sub(d.failedSince)
	switch {
	case err == nil:
		d.readAt, d.failedSince = now, time.Time{}
		if d.firstReadAt.IsZero() {
			d.firstReadAt = now
		}
	case wasReadable:
		d.failedSince = now
	}
	switch {
	case err != nil && known > 1:
		d.nextRead = now.Add(discoverRetryDelay)
	case known <= 1:
		d.nextRead = now.Add(loneRetryDelay)
	}
	n.mu.Unlock()
	switch {
	case err == nil:
		if !wasReadable {
			n.log.Info("nodes read again", "away", failedFor)
		}
		n.suspects.MarkLearned()
		n.coldShares.markMembersRead(now)
	case wasReadable:
		n.log.Warn("nodes not read", "err", err)
	}
}

// readDue reports whether to read the list of nodes now.
func (n *nodes) readDue(now time.Time) bool {
	alone := n.members.View().Counts().Working <= 1
	n.mu.Lock()
	defer n.mu.Unlock()
	d := &n.discovery
	if now.Before(d.nextRead) {
		return false
	}
	if d.firstReadAt.IsZero() || alone || now.Sub(d.readAt) >= rediscoverInterval {
		return true
	}
	if d.earlyReads < len(earlyReads) && now.Sub(d.firstReadAt) >= earlyReads[d.earlyReads] {
		d.earlyReads++
		return true
	}
	return false
}

// applyNodeRows takes in rows of the list of nodes: it greets the nodes that this one should
// know itself, and adds the others as listed.
func (n *nodes) applyNodeRows(rows []site.Row, whole bool, now time.Time) {
	if whole {
		n.checkOwnRow(rows)
	}
	greetAll := max(len(rows), n.members.View().Counts().All) <= maxGreeted
	var unprobed []netip.AddrPort
	var listed []control.Member
	for _, r := range rows {
		if r.Key == suspects.BlockedRowKey {
			n.suspects.LoadRow(r, now)
			continue
		}
		m, ok := n.decodeNodeRow(r)
		switch {
		case !ok:
		case greetAll || m.DataHall == "" || m.DataHall == n.self.DataHall:
			n.members.AddSeed(m.Peer)
			unprobed = append(unprobed, m.Peer)
		default:
			listed = append(listed, m)
		}
	}
	n.members.AddListed(listed, now)
	n.greet(unprobed)
}

// decodeNodeRow decodes the row of another node; ok is false if there is none.
func (n *nodes) decodeNodeRow(r site.Row) (m control.Member, ok bool) {
	if r.Gone || r.Key == suspects.BlockedRowKey {
		return m, false
	}
	var row nodeRow
	if err := json.Unmarshal(r.Value, &row); err != nil {
		n.log.Error("node row can't be decoded", "row", r.Key, "err", err)
		return m, false
	}
	m = control.Member{Name: nodeName(r.Key), Peer: row.Peer, Entry: row.Entry, DataHall: row.DataHall, Link: row.Link}
	return m, m.Name != n.self.Name && m.Peer.IsValid()
}

// greet has nodes probed of which only the addresses are known.
func (n *nodes) greet(addrs []netip.AddrPort) {
	if len(addrs) == 0 {
		return
	}
	rand.Shuffle(len(addrs), func(i, j int) { addrs[i], addrs[j] = addrs[j], addrs[i] })
	n.mu.Lock()
	n.discovery.unprobed = addrs
	n.discovery.probeBatch = max(minProbeBatch, (len(addrs)+seedProbeBatches-1)/seedProbeBatches)
	n.mu.Unlock()
	n.probeSeeds(context.Background())
}

// probeSeeds probes the next batch of nodes of which only the address is known; the timer
// service calls it. Nodes that have contacted this one meanwhile are left out: if all nodes
// start together, each pair exchanges one probe instead of two.
func (n *nodes) probeSeeds(context.Context) {
	n.mu.Lock()
	d := &n.discovery
	batch := d.unprobed[:min(len(d.unprobed), d.probeBatch)]
	d.unprobed = d.unprobed[len(batch):]
	n.mu.Unlock()
	if len(batch) > 0 {
		n.probes.Send(n.members.ProbeSeeds(batch))
	}
}
