package standin

import (
	"container/list"
	"sync"
	"time"

	"github.com/drumpath/drumpath/pkg/prompt"
	"github.com/drumpath/drumpath/pkg/upstream"
)

// maxKeptEvents is how many events are kept; a reader that is further behind sees a gap in
// their numbers.
const maxKeptEvents = 20_000

// prefixCache is a prefix cache of limited size that evicts the least recently
// used block and publishes its events after a delay.
type prefixCache struct {
	mu            sync.Mutex
	capacity      int // In blocks.
	eventDelay    time.Duration
	skipEvents    bool
	blocks        map[prompt.Key]*list.Element
	recentlyUsed  *list.List // Front is the most recently used.
	seq           uint64
	events        []timedEvent
	heldByRequest map[string][]prompt.Key // Imported blocks by the id of the request they are for.
	holdCount     map[prompt.Key]int      // Number of requests that hold each block.
}

type timedEvent struct {
	upstream.CacheEvent
	publishedAt time.Time
}

func newPrefixCache(tokens int, eventDelay time.Duration) *prefixCache {
	return &prefixCache{
		capacity:      max(1, tokens/prompt.ChunkTokens),
		eventDelay:    eventDelay,
		blocks:        map[prompt.Key]*list.Element{},
		recentlyUsed:  list.New(),
		heldByRequest: map[string][]prompt.Key{},
		holdCount:     map[prompt.Key]int{},
	}
}

// maxHold is how long imported blocks are kept for their request.
const maxHold = 10 * time.Second

// hold protects imported blocks from eviction until their request has used them;
// it returns false if they do not fit beside the blocks already held.
func (c *prefixCache) hold(request string, keys []prompt.Key) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.holdCount)+len(keys) > c.capacity {
		return false
	}
	c.heldByRequest[request] = keys
	for _, k := range keys {
		c.holdCount[k]++
	}
	time.AfterFunc(maxHold, func() { c.unhold(request) })
	return true
}

func (c *prefixCache) unhold(request string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, k := range c.heldByRequest[request] {
		if c.holdCount[k]--; c.holdCount[k] == 0 {
			delete(c.holdCount, k)
		}
	}
	delete(c.heldByRequest, request)
}

func (c *prefixCache) setSkipEvents(skip bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.skipEvents = skip
}

// matchPrefix returns how many of the keys, from the first, are cached, and marks
// them as used.
func (c *prefixCache) matchPrefix(keys []prompt.Key) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for n < len(keys) && c.blocks[keys[n]] != nil {
		n++
	}
	// The blocks at the end of the chain become the first to be evicted.
	for i := n - 1; i >= 0; i-- {
		c.recentlyUsed.MoveToFront(c.blocks[keys[i]])
	}
	return n
}

// add stores the blocks of a chain, from its start, and evicts others beyond the
// capacity.
func (c *prefixCache) add(salt prompt.Key, keys []prompt.Key) {
	c.mu.Lock()
	defer c.mu.Unlock()
	parent := salt
	for i, key := range keys {
		if c.blocks[key] == nil {
			b := upstream.CacheEvent{Key: key, Parent: parent, Position: i + 1}
			c.blocks[key] = c.recentlyUsed.PushFront(b)
			c.publish(b)
		}
		parent = key
	}
	for i := len(keys) - 1; i >= 0; i-- {
		if el := c.blocks[keys[i]]; el != nil {
			c.recentlyUsed.MoveToFront(el)
		}
	}
	for el := c.recentlyUsed.Back(); el != nil && c.recentlyUsed.Len() > c.capacity; {
		previous := el.Prev()
		if c.holdCount[el.Value.(upstream.CacheEvent).Key] == 0 { // The list holds only this type.
			c.evict(el)
		}
		el = previous
	}
}

func (c *prefixCache) evict(el *list.Element) {
	b := c.recentlyUsed.Remove(el).(upstream.CacheEvent) // The list holds only this type.
	delete(c.blocks, b.Key)
	b.Removed = true
	c.publish(b)
}

func (c *prefixCache) clear() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.recentlyUsed.Len() > 0 {
		c.evict(c.recentlyUsed.Back())
	}
}

// publish numbers and records a change; a skipped event uses up its number.
func (c *prefixCache) publish(b upstream.CacheEvent) {
	c.seq++
	if c.skipEvents {
		return
	}
	b.Seq = c.seq
	c.events = append(c.events, timedEvent{CacheEvent: b, publishedAt: time.Now()})
	if len(c.events) > maxKeptEvents {
		c.events = c.events[len(c.events)-maxKeptEvents/2:]
	}
}

// eventsSince returns the events after a number that are old enough to be
// visible.
func (c *prefixCache) eventsSince(after uint64) (last uint64, events []upstream.CacheEvent) {
	c.mu.Lock()
	defer c.mu.Unlock()
	last = after
	publishedBefore := time.Now().Add(-c.eventDelay)
	for _, ev := range c.events {
		if ev.Seq > after && ev.publishedAt.Before(publishedBefore) {
			events = append(events, ev.CacheEvent)
			last = ev.Seq
		}
	}
	return last, events
}

// allBlocks returns all cached blocks and the number of the last event.
func (c *prefixCache) allBlocks() (seq uint64, blocks []upstream.CacheEvent) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for el := c.recentlyUsed.Front(); el != nil; el = el.Next() {
		blocks = append(blocks, el.Value.(upstream.CacheEvent)) // The list holds only this type.
	}
	return c.seq, blocks
}

// chain returns the keys from a chain's start to the block at tail, or nil if
// one of them is no longer cached.
func (c *prefixCache) chain(tail prompt.Key, chunks int) []prompt.Key {
	c.mu.Lock()
	defer c.mu.Unlock()
	keys := make([]prompt.Key, chunks)
	key := tail
	for i := chunks - 1; i >= 0; i-- {
		el := c.blocks[key]
		if el == nil {
			return nil
		}
		keys[i] = key
		key = el.Value.(upstream.CacheEvent).Parent // The list holds only this type.
	}
	return keys
}
