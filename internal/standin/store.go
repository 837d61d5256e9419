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

// StoreConfig sizes a store.
type StoreConfig struct {
	Capacity   int64   `json:"capacity"`  // Bytes.
	LinkRate   float64 `json:"link_rate"` // Bytes a second.
	TokenBytes int     `json:"token_bytes"`
}

// Store stands in for a store VM of kept state.
type Store struct {
	*host
	cfg  StoreConfig
	link *link

	mu      sync.Mutex
	epoch   uint64
	seq     uint64
	nextGen uint64
	used    int64
	objects map[uint64]*storedObject // By generation.
	current map[prompt.Key]uint64    // Sealed and not freed.
	bad     int                      // Reads of what was freed or half-written.
	reads   int
	changes []upstream.StoreChange
}

// maxChanges is how many changes a listing can go back.
const maxChanges = 1000

type storedObject struct {
	prompt.Object
	marks  prompt.PackedMarks
	blocks []prompt.Key
	sealed bool
	freed  bool
	pins   map[string]time.Time // Reader to its deadline.
	reads  int                  // Under way; they hold it as pins do.
}

// StartStore starts a store.
func StartStore(addr netip.AddrPort, cfg StoreConfig) (*Store, error) {
	h, err := newHost(addr)
	if err != nil {
		return nil, err
	}
	s := &Store{
		host:    h,
		cfg:     cfg,
		epoch:   uint64(time.Now().UnixNano()),
		objects: map[uint64]*storedObject{},
		current: map[prompt.Key]uint64{},
	}
	s.link = newLink(cfg.LinkRate, func() float64 { return h.faults.get().LinkFactor })
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
	return StoreStats{Objects: len(s.current), Reads: s.reads, BadReads: s.bad, Moved: s.link.moved.Load()}
}

func (s *Store) restart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.epoch++
	s.seq = 0
	s.changes = nil
	s.used = 0
	s.objects = map[uint64]*storedObject{}
	s.current = map[prompt.Key]uint64{}
}

func (s *Store) list(c *fasthttp.RequestCtx) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := upstream.StoreListing{
		Epoch:    s.epoch,
		Seq:      s.seq,
		Used:     s.used,
		Capacity: s.cfg.Capacity,
		Leaving:  s.faults.get().Leaving,
	}
	after := uint64(c.QueryArgs().GetUintOrZero("after"))
	epoch, _ := strconv.ParseUint(string(c.QueryArgs().Peek("epoch")), 10, 64) // 0 asks for all.
	if epoch == s.epoch && after <= s.seq && s.seq-after <= uint64(len(s.changes)) {
		l.Changes = s.changes[uint64(len(s.changes))-(s.seq-after):]
		reply(c, http.StatusOK, l)
		return
	}
	l.Full = true
	for _, gen := range s.current {
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
		LinkQueue:  s.link.queue.Load(),
		Moved:      s.link.moved.Load(),
		BusyMillis: s.link.busy.Load() / int64(time.Millisecond),
	}
}

// changed records a change for listings; the caller holds mu.
func (s *Store) changed(o *storedObject) {
	s.seq++
	s.changes = append(s.changes, upstream.StoreChange{Freed: o.freed, Object: o.Object, Marks: o.marks})
	if len(s.changes) > maxChanges {
		s.changes = s.changes[len(s.changes)-maxChanges/2:]
	}
}

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
	if s.faults.get().PartialPut && len(o.blocks) == o.Chunks {
		o.blocks = o.blocks[:o.Chunks-1]
	}
}

// seal makes an object visible; an older one under the key is freed.
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
	if old, exists := s.current[o.Key]; exists {
		s.hide(s.objects[old])
	}
	s.current[o.Key] = o.Generation
	s.changed(o)
	reply(c, http.StatusOK, o.Object)
}

// named finds the object a request names, or answers with a refusal.
func (s *Store) named(c *fasthttp.RequestCtx, key prompt.Key, gen, epoch uint64) *storedObject {
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
	o := s.named(c, req.Key, req.Generation, req.Epoch)
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
	if o := s.named(c, req.Key, req.Generation, req.Epoch); o != nil {
		delete(o.pins, req.Reader)
		s.releaseIfFree(o)
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
	o.reads--
	if req.Epoch != s.epoch {
		refuse(c, upstream.ReasonGone)
		return
	}
	if s.objects[o.Generation] != o || !o.sealed {
		// It was released under the read, or never whole.
		s.bad++
	}
	end := min(len(o.blocks), req.From+req.Count)
	reply(c, http.StatusOK, upstream.Blocks{
		Blocks: slices.Clone(o.blocks[min(req.From, end):end]),
		Load:   s.linkLoad(),
	})
	s.releaseIfFree(o)
}

// beginRead finds a pinned object and holds it, or answers with a refusal.
func (s *Store) beginRead(c *fasthttp.RequestCtx, req upstream.GetBlocks) *storedObject {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	o := s.named(c, req.Key, req.Generation, req.Epoch)
	if o == nil {
		return nil
	}
	if until, pinned := o.pins[req.Reader]; !pinned || time.Now().After(until) {
		refuse(c, upstream.ReasonGone)
		return nil
	}
	o.reads++
	return o
}

func (s *Store) free(c *fasthttp.RequestCtx) {
	var req upstream.FreeObject
	if !decode(c, &req) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if o := s.named(c, req.Key, req.Generation, req.Epoch); o != nil {
		s.hide(o)
	}
}

// hide takes an object out of sight; it is released when its pins have ended.
func (s *Store) hide(o *storedObject) {
	o.freed = true
	if s.current[o.Key] == o.Generation {
		delete(s.current, o.Key)
		s.changed(o)
	}
	s.releaseIfFree(o)
}

func (s *Store) releaseIfFree(o *storedObject) {
	if !o.freed || o.reads > 0 {
		return
	}
	now := time.Now()
	for reader, until := range o.pins {
		if now.Before(until) {
			time.AfterFunc(until.Sub(now), func() {
				s.mu.Lock()
				defer s.mu.Unlock()
				s.releaseIfFree(o)
			})
			return
		}
		delete(o.pins, reader)
	}
	s.release(o)
}

func (s *Store) release(o *storedObject) {
	if s.objects[o.Generation] != o {
		return
	}
	delete(s.objects, o.Generation)
	s.used -= o.Bytes
}

// DefaultStoreConfig is a store that fits DefaultEngineConfig.
func DefaultStoreConfig() StoreConfig {
	return StoreConfig{Capacity: 4 << 30, LinkRate: 400e6, TokenBytes: DefaultEngineConfig().TokenBytes}
}
