package node

import (
	"log/slog"
	"net/netip"

	"github.com/drumpath/drumpath/pkg/control"
	"github.com/drumpath/drumpath/service/peer"
	"github.com/drumpath/drumpath/service/suspects"
)

const (
	// maxDirectRecipients is how many nodes of a data hall are notified directly. In
	// a hall that has more, a single node relays to the others, so that traffic
	// between halls doesn't grow with the number of nodes.
	maxDirectRecipients = 16
	// relayDuty is the prefix of the duty to relay notifications within a hall.
	relayDuty = "suspects/"
)

// suspectNotifier notifies other nodes of prompts suspected of crashing engines.
type suspectNotifier struct {
	self    string
	hall    string
	members *control.Members
	probes  *peer.Probes
	log     *slog.Logger
}

// SendNote implements suspects.Notifier.
func (t *suspectNotifier) SendNote(to []netip.AddrPort, method string, params any) int {
	sent, err := t.probes.SendNote(to, method, params)
	if err != nil {
		t.log.Error("notification not sent", "method", method, "err", err)
	}
	return sent
}

// Recipients implements suspects.Notifier.
func (t *suspectNotifier) Recipients(try int) (direct, relays []netip.AddrPort) {
	return t.members.View().Recipients(t.self, maxDirectRecipients, relayDuty, try)
}

// HallPeers implements suspects.Notifier.
func (t *suspectNotifier) HallPeers() []netip.AddrPort { return t.members.View().Peers(t.self, t.hall) }

// registerSuspectHandlers registers the handlers of notes and methods about suspected
// prompts.
func (n *Node) registerSuspectHandlers() {
	s := n.Suspects
	s.SetNotifier(&suspectNotifier{
		self:    n.Settings.Node.Name,
		hall:    n.Settings.Node.DataHall,
		members: n.Members,
		probes:  n.Probes,
		log:     n.Log,
	})
	n.Probes.OnNote(suspects.NoteCases, s.HandleCases)
	n.Probes.OnNote(suspects.NoteLostRun, s.HandleLostRun)
	n.Probes.OnNote(suspects.NoteAsk, s.HandleAsk)
	n.Probes.OnNote(suspects.NoteDigest, s.HandleDigest)
	n.Peer.Handle(peer.RolePeer, suspects.MethodRun, s.ServeRun)
	n.Peer.Handle(peer.RolePeer, suspects.MethodRunEnded, s.ServeRunEnded)
}
