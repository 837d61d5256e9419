package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/drumpath/drumpath/pkg/boottime"
	"github.com/drumpath/drumpath/pkg/control"
	"github.com/drumpath/drumpath/pkg/timer"
	"github.com/drumpath/drumpath/service/peer"
)

const (
	// methodListContact asks a node for how long it has read the upstream list without an interruption.
	methodListContact = "gateway.list_contact"
	// listContactTimeout limits a call, and listContactRetry is the pause after one that failed: nodes that were cut off
	// from each other reach each other again one after the other.
	listContactTimeout = 300 * time.Millisecond
	listContactRetry   = 100 * time.Millisecond
	// listContactsLearned is how many nodes are asked: some may have been cut off as well.
	listContactsLearned = 2
	// maxListGap is the greatest time between two reads of the upstream list without an interruption. Rows of replicas
	// that could not reach the store for so short a time have not expired.
	maxListGap = 3500 * time.Millisecond
)

// listContact is the answer to methodListContact.
type listContact struct {
	// AgeMS is in milliseconds, 0 for a node that can't read the list now.
	AgeMS int64 `json:"age_ms"`
}

// serveListContact handles methodListContact.
func (n *nodes) serveListContact(context.Context, struct{}) (listContact, error) {
	return listContact{AgeMS: n.siteState.ListContact(boottime.RefreshNow()).Milliseconds()}, nil
}

// learnListContact asks other nodes since when they have read the upstream list, after this node could not read it. Where only
// this node was cut off, replicas whose rows are gone have left and will not return.
func (n *nodes) learnListContact(ctx context.Context, client *peer.Client) {
	ctx, cancel := context.WithTimeout(ctx, n.siteState.returnTime)
	defer cancel()
	asked := map[string]bool{n.self.Name: true}
	for learned := 0; learned < listContactsLearned && ctx.Err() == nil; {
		m, ok := n.pickNotAsked(asked)
		if !ok {
			return
		}
		var c listContact
		if err := client.CallWithin(ctx, listContactTimeout, m.Peer, methodListContact, struct{}{}, &c); err != nil {
			if peer.UnknownMethod(err) {
				asked[m.Name] = true
			}
			timer.Sleep(ctx, listContactRetry)
			continue
		}
		asked[m.Name] = true
		learned++
		n.siteState.LearnListContact(time.Duration(c.AgeMS)*time.Millisecond, boottime.RefreshNow())
	}
}

// pickNotAsked picks a random node. It may count as dead: this node may just not have reached it.
func (n *nodes) pickNotAsked(asked map[string]bool) (m control.Member, ok bool) {
	var list []control.Member
	for _, m := range n.members.View().All() {
		if !asked[m.Name] && m.State != control.MemberLeaving {
			list = append(list, m)
		}
	}
	if len(list) == 0 {
		return m, false
	}
	return list[rand.IntN(len(list))], true
}

// ListContact returns for how long this node has read the upstream list without an interruption, 0 if it can't now.
func (st *SiteState) ListContact(now time.Time) time.Duration {
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.contactSince.IsZero() || st.unreachable() || now.Sub(st.syncedAt) > maxListGap {
		return 0
	}
	return now.Sub(st.contactSince)
}

// LearnListContact takes in for how long another node has read the upstream list without an interruption. If that is longer than
// since this node can read it again, the store was not away, and replicas have no more time to return.
func (st *SiteState) LearnListContact(age time.Duration, now time.Time) {
	st.mu.Lock()
	defer st.mu.Unlock()
	since := now.Add(-age)
	if age <= 0 || st.unreachable() || !since.Before(st.reachableAt) {
		return
	}
	st.log.Info("store was reached by other nodes", "earlier", st.reachableAt.Sub(since), "missing", len(st.missing))
	st.reachableAt = since
}
