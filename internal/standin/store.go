package standin

import (
	"context"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/drumpath/drumpath/pkg/prompt"
	"github.com/drumpath/drumpath/pkg/upstream"
)

// StoreConfig sets a store's capacity and link rate.
type StoreConfig struct {
	Capacity   int64   `json:"capacity"`  // Bytes.
	LinkRate   float64 `json:"link_rate"` // Bytes per second.
	TokenBytes int     `json:"token_bytes"`
}

// Store stands in for a VM that stores KV cache blocks.
type Store struct {
	*httpServer
	cfg  StoreConfig
	link *link

	mu                 sync.Mutex
	epoch              uint64
	seq                uint64
	nextGen            uint64
	used               int64
	objects            map[uint64]*storedObject // By generation.
	currentGenerations map[prompt.Key]uint64    // Generations that are sealed and not freed.
	badReads           int                      // Reads of freed or half-written objects.
	readCalls          int
	changes            []upstream.StoreChange
}

// maxKeptChanges is how many changes are kept for incremental listings.
const maxKeptChanges = 1000

// storedObject is one generation of an object, from begin to its release.
type storedObject struct {
	prompt.Object
	marks       prompt.PackedMarks
	blocks      []prompt.Key
	sealed      bool
	freed       bool
	pins        map[string]time.Time // The time each reader's pin expires.
	activeReads int                  // Like pins, they delay the release.
}

// StartStore starts a store.
func StartStore(addr netip.AddrPort, cfg StoreConfig) (*Store, error) {
	h, err := newHTTPServer(addr)
	if err != nil {
		return nil, err
	}
	s := &Store{
		httpServer:         h,
		cfg:                cfg,
		epoch:              uint64(time.Now().UnixNano()),
		objects:            map[uint64]*storedObject{},
		currentGenerations: map[prompt.Key]uint64{},
	}
	s.link = newLink(cfg.LinkRate, func() float64 { return h.fault.get().LinkFactor })
	h.onFault = func(f Fault) {
		if f.Restart {
			s.restart()
		}
	}
	h.router.GET(upstream.PathStoreList, s.list)
	h.router.GET(upstream.PathStoreLoad, s.load)
	h.router.POST(upstream.PathStoreBegin, s.begin)
	h.router.POST(upstream.PathStorePut, s.put)
	h.router.POST(upstream.PathStoreSeal, s.seal)
	h.router.POST(upstream.PathStorePin, s.pin)
	h.router.POST(upstream.PathStoreUnpin, s.unpin)
	h.router.POST(upstream.PathStoreGet, s.get)
	h.router.POST(upstream.PathStoreFree, s.free)
	h.start()
	return s, nil
}

// StoreStats counts what a store has done.
type StoreStats struct {
	Objects  int
	Reads    int
	BadReads int
	Moved    int64 // Bytes over its link.
}

// Stats returns the store's counts.
func (s *Store) Stats() StoreStats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return StoreStats{Objects: len(s.currentGenerations), Reads: s.readCalls, BadReads: s.badReads, Moved: s.link.movedBytes.Load()}
}

func (s *Store) restart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.epoch++
	s.seq = 0
	s.changes = nil
	s.used = 0
	s.objects = map[uint64]*storedObject{}
	s.currentGenerations = map[prompt.Key]uint64{}
}

func (s *Store) list(c *fasthttp.RequestCtx) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := upstream.StoreListing{
		Epoch:    s.epoch,
		Seq:      s.seq,
		Used:     s.used,
		Capacity: s.cfg.Capacity,
		Leaving:  s.fault.get().Leaving,
	}
	after := uint64(c.QueryArgs().GetUintOrZero("after"))
	epoch, _ := strconv.ParseUint(string(c.QueryArgs().Peek("epoch")), 10, 64) // 0 asks for a full listing.
	if epoch == s.epoch && after <= s.seq && s.seq-after <= uint64(len(s.changes)) {
		l.Changes = s.changes[uint64(len(s.changes))-(s.seq-after):]
		reply(c, http.StatusOK, l)
		return
	}
	l.Full = true
	for _, gen := range s.currentGenerations {
		o := s.objects[gen]
		l.Changes = append(l.Changes, upstream.StoreChange{Object: o.Object, Marks: o.marks})
	}
	reply(c, http.StatusOK, l)
}

func (s *Store) load(c *fasthttp.RequestCtx) {
	reply(c, http.StatusOK, s.linkLoad())
}

func (s *Store) linkLoad() upstream.StoreLoad {
	return upstream.StoreLoad{
		LinkRate:   s.cfg.LinkRate,
		LinkQueue:  s.link.queuedBytes.Load(),
		Moved:      s.link.movedBytes.Load(),
		BusyMillis: s.link.busyNanos.Load() / int64(time.Millisecond),
	}
}

// recordChange adds a change to the incremental listings; the caller holds mu.
func (s *Store) recordChange(o *storedObject) {
	s.seq++
	s.changes = append(s.changes, upstream.StoreChange{Freed: o.freed, Object: o.Object, Marks: o.marks})
	if len(s.changes) > maxKeptChanges {
		s.changes = s.changes[len(s.changes)-maxKeptChanges/2:]
	}
}

// refuse answers that the call was not executed, with a reason.
func refuse(c *fasthttp.RequestCtx, reason string) {
	reply(c, http.StatusConflict, upstream.Refusal{NotRun: true, Reason: reason})
}

func (s *Store) begin(c *fasthttp.RequestCtx) {
	var req upstream.BeginPut
	if !decode(c, &req) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.used+req.Bytes > s.cfg.Capacity {
		refuse(c, upstream.ReasonNoSpace)
		return
	}
	s.nextGen++
	s.used += req.Bytes
	o := &storedObject{
		Object: prompt.Object{
			Key:        req.Key,
			Chunks:     req.Chunks,
			Generation: s.nextGen,
			Epoch:      s.epoch,
			Bytes:      req.Bytes,
		},
		marks: req.Marks,
		pins:  map[string]time.Time{},
	}
	s.objects[o.Generation] = o
	reply(c, http.StatusOK, o.Object)
}

func (s *Store) put(c *fasthttp.RequestCtx) {
	var req upstream.PutBlocks
	if !decode(c, &req) {
		return
	}
	if !s.link.move(context.Background(), req.Bytes, priorityExport) {
		refuse(c, upstream.ReasonGone)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[req.Generation]
	if !ok || o.Key != req.Key || o.sealed {
		refuse(c, upstream.ReasonGone)
		return
	}
	o.blocks = append(o.blocks, req.Blocks...)
	if s.fault.get().PartialPut && len(o.blocks) == o.Chunks {
		o.blocks = o.blocks[:o.Chunks-1]
	}
}

// seal makes an object visible and frees an older one under the same key.
func (s *Store) seal(c *fasthttp.RequestCtx) {
	var req upstream.SealObject
	if !decode(c, &req) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[req.Generation]
	if !ok || o.Key != req.Key || o.sealed {
		refuse(c, upstream.ReasonGone)
		return
	}
	if len(o.blocks) != o.Chunks || checksumOf(o.blocks) != req.Checksum {
		s.release(o)
		refuse(c, upstream.ReasonChecksum)
		return
	}
	o.sealed = true
	o.Checksum = req.Checksum
	if old, exists := s.currentGenerations[o.Key]; exists {
		s.markFreed(s.objects[old])
	}
	s.currentGenerations[o.Key] = o.Generation
	s.recordChange(o)
	reply(c, http.StatusOK, o.Object)
}

// findObject returns the object that a request names, or refuses the request and
// returns nil.
func (s *Store) findObject(c *fasthttp.RequestCtx, key prompt.Key, gen, epoch uint64) *storedObject {
	o, ok := s.objects[gen]
	if !ok || o.Key != key || epoch != s.epoch {
		refuse(c, upstream.ReasonGone)
		return nil
	}
	return o
}

func (s *Store) pin(c *fasthttp.RequestCtx) {
	var req upstream.PinObject
	if !decode(c, &req) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.findObject(c, req.Key, req.Generation, req.Epoch)
	if o == nil {
		return
	}
	if !o.sealed || o.freed {
		refuse(c, upstream.ReasonGone)
		return
	}
	o.pins[req.Reader] = time.Now().Add(time.Duration(req.Millis) * time.Millisecond)
	reply(c, http.StatusOK, o.Object)
}

func (s *Store) unpin(c *fasthttp.RequestCtx) {
	var req upstream.PinObject
	if !decode(c, &req) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if o := s.findObject(c, req.Key, req.Generation, req.Epoch); o != nil {
		delete(o.pins, req.Reader)
		s.releaseIfUnused(o)
	}
}

func (s *Store) get(c *fasthttp.RequestCtx) {
	var req upstream.GetBlocks
	if !decode(c, &req) {
		return
	}
	o := s.beginRead(c, req)
	if o == nil {
		return
	}
	bytes := int64(req.Count) * int64(s.cfg.TokenBytes) * prompt.ChunkTokens
	s.link.move(context.Background(), bytes, priorityImport)
	s.mu.Lock()
	defer s.mu.Unlock()
	o.activeReads--
	if req.Epoch != s.epoch {
		refuse(c, upstream.ReasonGone)
		return
	}
	if s.objects[o.Generation] != o || !o.sealed {
		// The object was released during the read, or never completed.
		s.badReads++
	}
	end := min(len(o.blocks), req.From+req.Count)
	reply(c, http.StatusOK, upstream.Blocks{
		Blocks: slices.Clone(o.blocks[min(req.From, end):end]),
		Load:   s.linkLoad(),
	})
	s.releaseIfUnused(o)
}

// beginRead returns an object that the reader has pinned and counts the read, or
// refuses the request and returns nil.
func (s *Store) beginRead(c *fasthttp.RequestCtx, req upstream.GetBlocks) *storedObject {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readCalls++
	o := s.findObject(c, req.Key, req.Generation, req.Epoch)
	if o == nil {
		return nil
	}
	if until, pinned := o.pins[req.Reader]; !pinned || time.Now().After(until) {
		refuse(c, upstream.ReasonGone)
		return nil
	}
	o.activeReads++
	return o
}

func (s *Store) free(c *fasthttp.RequestCtx) {
	var req upstream.FreeObject
	if !decode(c, &req) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if o := s.findObject(c, req.Key, req.Generation, req.Epoch); o != nil {
		s.markFreed(o)
	}
}

// markFreed removes an object from listings; it is released when its pins and
// reads have ended.
func (s *Store) markFreed(o *storedObject) {
	o.freed = true
	if s.currentGenerations[o.Key] == o.Generation {
		delete(s.currentGenerations, o.Key)
		s.recordChange(o)
	}
	s.releaseIfUnused(o)
}

// releaseIfUnused releases a freed object without reads and pins; while a pin
// remains, it tries again when that expires.
func (s *Store) releaseIfUnused(o *storedObject) {
	if !o.freed || o.activeReads > 0 {
		return
	}
	now := time.Now()
	for reader, until := range o.pins {
		if now.Before(until) {
			time.AfterFunc(until.Sub(now), func() {
				s.mu.Lock()
				defer s.mu.Unlock()
				s.releaseIfUnused(o)
			})
			return
		}
		delete(o.pins, reader)
	}
	s.release(o)
}

// release removes an object and returns its memory.
func (s *Store) release(o *storedObject) {
	if s.objects[o.Generation] != o {
		return
	}
	delete(s.objects, o.Generation)
	s.used -= o.Bytes
}

// DefaultStoreConfig returns the configuration of a store that matches
// DefaultEngineConfig.
func DefaultStoreConfig() StoreConfig {
	return StoreConfig{Capacity: 4 << 30, LinkRate: 400e6, TokenBytes: DefaultEngineConfig().TokenBytes}
}
