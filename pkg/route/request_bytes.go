package route

// A replica crashes when the requests that it holds exceed its memory. So what all nodes have in
// flight at one replica is bounded in bytes. Each node has a fixed share of that, as it doesn't
// see fast enough what the others send.

// RequestBytes divides the bytes of requests that a replica may hold among the nodes. It is called
// with the pool's lock held.
type RequestBytes interface {
	// Least returns how many bytes this node may have in flight at any replica.
	Least() int64
	// Share returns how many it may have in flight at a certain replica of a data hall, at
	// least Least.
	Share(replica uint64, hall string) int64
}

// SetRequestBytes bounds the bytes in flight at each replica. It must be called before the pool
// is used; without it, or with nil, there is no bound.
func (p *Pool) SetRequestBytes(b RequestBytes) { p.requestBytes = b }

// hasRoomForBytes reports whether this node may have size more bytes in flight at a replica that
// has inFlight; requests without a body always may. The caller holds mu.
func (p *Pool) hasRoomForBytes(m *member, inFlight, size int64) bool {
	if p.requestBytes == nil || size == 0 {
		return true
	}
	sum := inFlight + size
	return sum <= p.requestBytes.Least() || sum <= p.requestBytes.Share(m.idHash, m.DataHall)
}

// ExceedsBytes reports whether the replica had no room for the bytes of the request when it
// began: others were picked for the replica at the same time and began first.
func (r *InFlightRequest) ExceedsBytes() bool { return r.exceedsBytes }
