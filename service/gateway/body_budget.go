package gateway

import (
	"context"
	"errors"
	"time"

	"golang.org/x/sync/semaphore"

	"github.com/drumpath/drumpath/pkg/locks"
)

// A body is held in memory from when it is read until its request is answered, and its client
// may be slow to send the rest of it. So what all connections together may hold is bounded: a
// body is read only once its size is reserved, and until then the client's bytes stay in its
// socket, which holds the client up.
const (
	// bodyMemoryShare is the share of the node's memory for bodies, and organisationShare the
	// part of that for the requests of one organisation.
	bodyMemoryShare   = 0.2
	organisationShare = 0.5
	// uncountedBody is the size in bytes up to which a body is not counted: the number of
	// connections bounds these.
	uncountedBody = 4 << 10
	// unknownBodySize is what is reserved at first for a body that names no length.
	unknownBodySize = 64 << 10
	// maxBodyWait is how long a body waits until it is refused.
	maxBodyWait = time.Second
)

// errNoBodyMemory means that a body was not read because others take up the memory for bodies.
var errNoBodyMemory = errors.New("no memory for the request's body")

// bodyBudget bounds the memory that bodies take up, in all and by organisation.
type bodyBudget struct {
	size         int64
	all          *semaphore.Weighted
	organisation int64 // Bytes of one organisation.

	mu            locks.Mutex
	organisations map[string]*organisationBudget
}

// organisationBudget is the part of one organisation while it has any bodies.
type organisationBudget struct {
	*semaphore.Weighted
	users int // Reservations, also those that wait.
}

// newBodyBudget returns the budget of a node with the given memory, nil if it is not limited.
func newBodyBudget(memory int64) *bodyBudget {
	if memory <= 0 {
		return nil
	}
	return newSizedBudget(int64(bodyMemoryShare * float64(memory)))
}

// newSizedBudget returns a budget of a number of bytes.
func newSizedBudget(size int64) *bodyBudget {
	return &bodyBudget{
		size:          size,
		all:           semaphore.NewWeighted(size),
		organisation:  int64(organisationShare * float64(size)),
		organisations: map[string]*organisationBudget{},
	}
}

// reserve waits until n bytes of an organisation fit, at most for maxBodyWait. A larger body
// than the whole budget takes all of it. release gives the bytes back; it is never nil.
func (b *bodyBudget) reserve(organisation string, n int64) (release func(), err error) {
	if b == nil || n <= uncountedBody {
		return func() {}, nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), maxBodyWait)
	defer cancel()
	own := b.join(organisation)
	ownBytes, allBytes := min(n, b.organisation), min(n, b.size)
	if own.Acquire(ctx, ownBytes) != nil {
		b.leave(organisation, own)
		return func() {}, errNoBodyMemory
	}
	if b.all.Acquire(ctx, allBytes) != nil {
		own.Release(ownBytes)
		b.leave(organisation, own)
		return func() {}, errNoBodyMemory
	}
	return func() {
		b.all.Release(allBytes)
		own.Release(ownBytes)
		b.leave(organisation, own)
	}, nil
}

// join returns the budget of an organisation, which leave gives back.
func (b *bodyBudget) join(organisation string) *organisationBudget {
	b.mu.Lock()
	defer b.mu.Unlock()
	own := b.organisations[organisation]
	if own == nil {
		own = &organisationBudget{Weighted: semaphore.NewWeighted(b.organisation)}
		b.organisations[organisation] = own
	}
	own.users++
	return own
}

func (b *bodyBudget) leave(organisation string, own *organisationBudget) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if own.users--; own.users == 0 {
		delete(b.organisations, organisation)
	}
}
