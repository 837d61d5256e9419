package node

import (
	"log/slog"
	"net/netip"

	"github.com/drumpath/drumpath/pkg/control"
	"github.com/drumpath/drumpath/service/peer"
	"github.com/drumpath/drumpath/service/suspects"
)

const (
	// directMost is up to how many nodes of a data hall are told directly; in larger ones
	// one tells the others, so that bytes between halls don't grow with the nodes.
	directMost = 16
	// suspectsDuty names the duty of telling that on in a hall.
	suspectsDuty = "suspects/"
)

// suspectTeller tells other nodes of prompts under which engines ended.
type suspectTeller struct {
	self    string
	hall    string
	members *control.Members
	probes  *peer.Probes
	log     *slog.Logger
}

// SendNote implements suspects.Notifier.
func (t *suspectTeller) SendNote(to []netip.AddrPort, method string, params any) int {
	sent, err := t.probes.SendNote(to, method, params)
	if err != nil {
		t.log.Error("notification not sent", "method", method, "err", err)
	}
	return sent
}

// Recipients implements suspects.Notifier.
func (t *suspectTeller) Recipients(try int) (direct, relays []netip.AddrPort) {
	return t.members.View().Recipients(t.self, directMost, suspectsDuty, try)
}

// HallPeers implements suspects.Notifier.
func (t *suspectTeller) HallPeers() []netip.AddrPort { return t.members.View().Peers(t.self, t.hall) }

// handleSuspects sets what other nodes tell and ask of such prompts.
func (n *Node) handleSuspects() {
	s := n.Suspects
	s.SetNotifier(&suspectTeller{
		self:    n.Settings.Node.Name,
		hall:    n.Settings.Node.DataHall,
		members: n.Members,
		probes:  n.Probes,
		log:     n.Log,
	})
	n.Probes.OnNote(suspects.NoteCases, s.HandleCases)
	n.Probes.OnNote(suspects.NoteDigest, s.HandleDigest)
	n.Peer.Handle(peer.RolePeer, suspects.MethodRun, s.ServeRun)
	n.Peer.Handle(peer.RolePeer, suspects.MethodRunEnded, s.ServeRunEnded)
}
