package route

import (
	"slices"
	"time"
)

// Peer is another node that may forward requests.
type Peer struct {
	Name     string
	DataHall string
}

// forwarder is what a node knows of another one that may forward requests for it.
type forwarder struct {
	reachedAt   time.Time // When it last reached a replica.
	pausedUntil time.Time // Until then it is sent nothing.
	load        int       // Requests that it forwards for all nodes, by its last answer.
	inFlight    int       // Requests of this node at it.
}

func (f *forwarder) usable(now time.Time) bool {
	return !f.reachedAt.IsZero() && now.Sub(f.reachedAt) < forwarderTerm && !now.Before(f.pausedUntil)
}

func (p *Paths) forwarder(name string) *forwarder {
	f := p.forwards[name]
	if f == nil {
		f = &forwarder{}
		p.forwards[name] = f
	}
	return f
}

// RecordForwarder records that a node reaches replicas, and how many requests it forwards.
func (p *Paths) RecordForwarder(name string, load int, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f := p.forwarder(name)
	f.reachedAt, f.load = now, load
	p.noneUntil = time.Time{}
}

// PauseForwarder records that a node can't forward at the moment.
func (p *Paths) PauseForwarder(name string, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f := p.forwarder(name)
	f.pausedUntil = now.Add(forwarderPause)
}

// RecordNoForwarder records that no node was found that reaches replicas.
func (p *Paths) RecordNoForwarder(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.noneUntil = now.Add(noForwarderPause)
}

// NoForwarder reports whether it was found of late that no node reaches replicas. A request that
// needs one is refused at once then.
func (p *Paths) NoForwarder(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return now.Before(p.noneUntil)
}

// otherHallLoad is the load, in requests, that a node of another data hall counts as having in
// addition, as traffic between halls is paid for.
const otherHallLoad = 2

// ChooseForwarder chooses one of the peers that are known to reach replicas, apart from those in
// exclude; ok is false if there is none. Of two drawn at random it takes the less loaded one, so
// that many nodes that choose at the same time do not choose the same.
func (p *Paths) ChooseForwarder(peers []Peer, ownHall string, exclude []string, now time.Time) (chosen Peer, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var usable []Peer
	for _, peer := range peers {
		if f := p.forwards[peer.Name]; f != nil && f.usable(now) && !slices.Contains(exclude, peer.Name) {
			usable = append(usable, peer)
		}
	}
	if len(usable) == 0 {
		return chosen, false
	}
	cost := func(peer Peer) int {
		f := p.forwards[peer.Name]
		c := max(f.load, f.inFlight)
		if peer.DataHall != ownHall {
			c += otherHallLoad
		}
		return c
	}
	i := p.rng.IntN(len(usable))
	chosen = usable[i]
	if len(usable) > 1 {
		other := usable[(i+1+p.rng.IntN(len(usable)-1))%len(usable)]
		if cost(other) < cost(chosen) {
			chosen = other
		}
	}
	return chosen, true
}

// BeginForward counts a request as in flight at a node that forwards it, until the returned
// function is called.
func (p *Paths) BeginForward(name string) (end func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f := p.forwarder(name)
	f.inFlight++
	return func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		f.inFlight--
	}
}

// ForgetForwarders drops nodes that were not heard of for long.
func (p *Paths) ForgetForwarders(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for name, f := range p.forwards {
		if f.inFlight == 0 && now.Sub(f.reachedAt) > forwarderTerm && now.After(f.pausedUntil) {
			delete(p.forwards, name)
		}
	}
}

// Opinion is what another node says about a replica that this node could not connect to.
type Opinion int

// Opinions of nodes.
const (
	// OpinionNone: it did not answer, or its own network is at fault.
	OpinionNone Opinion = iota
	// OpinionReached: it reaches the replica.
	OpinionReached
	// OpinionNotReached: it reaches other replicas, and not this one.
	OpinionNotReached
)

// FaultOf returns what opinions say of a replica that this node could not connect to.
func FaultOf(opinions []Opinion) Fault {
	fault := FaultUnknown
	for _, o := range opinions {
		switch o {
		case OpinionReached:
			return FaultOfPath
		case OpinionNotReached:
			fault = FaultOfReplica
		case OpinionNone:
		}
	}
	return fault
}

// Fault is why a node could not connect to a replica.
type Fault string

// Faults.
const (
	FaultUnknown   Fault = "unknown"
	FaultOfPath    Fault = "path"
	FaultOfReplica Fault = "replica"
)

// SurveySizes are how many nodes are asked in turn whether they reach a replica, until one says
// that it does or that the replica is at fault. The numbers grow, as one answer is enough if few
// nodes are cut off, and many must be asked if most are.
var SurveySizes = [...]int{3, 6, 12, 24}
