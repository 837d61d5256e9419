package standin

import (
	"context"
	"net/http"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/drumpath/drumpath/pkg/httpjson"
	"github.com/drumpath/drumpath/pkg/prompt"
	"github.com/drumpath/drumpath/pkg/upstream"
)

// blocksPerMessage is how many blocks are sent in one message.
const blocksPerMessage = 64

// pinDuration is how long an import pins an object.
const pinDuration = 30 * time.Second

// blockBytes returns the size of this many blocks.
func (e *Engine) blockBytes(chunks int) int64 {
	return int64(chunks) * prompt.ChunkTokens * int64(e.cfg.TokenBytes)
}

// importBlocks copies KV cache blocks from a store: it pins the object, reads and
// verifies the blocks and adds them to the cache.
func (e *Engine) importBlocks(c *fasthttp.RequestCtx) {
	var o upstream.ImportOrder
	if !decode(c, &o) {
		return
	}
	start := time.Now()
	timeout := time.Duration(o.WaitMillis) * time.Millisecond
	ctx, cancel := context.WithTimeout(e.ctx, timeout)
	defer cancel()
	e.mu.Lock()
	weights := e.state.Weights
	e.mu.Unlock()
	if weights != o.Weights {
		refuse(c, upstream.ReasonWeights)
		return
	}
	store := httpjson.NewClient(o.Store)
	defer store.Close()
	pin := upstream.PinObject{
		Key:        o.Object.Key,
		Generation: o.Object.Generation,
		Epoch:      o.Object.Epoch,
		Reader:     o.RequestID,
		Millis:     pinDuration.Milliseconds(),
	}
	if err := store.Call(ctx, http.MethodPost, upstream.PathStorePin, pin, nil); err != nil {
		refuse(c, upstream.ReasonGone)
		return
	}
	defer func() {
		_ = store.Call(e.ctx, http.MethodPost, upstream.PathStoreUnpin, pin, nil) // A pin that is not removed expires.
	}()
	blocks, load, reason := e.fetch(ctx, store, o)
	if reason != "" {
		refuse(c, reason)
		return
	}
	if !e.cache.hold(o.RequestID, blocks) {
		refuse(c, upstream.ReasonNoSpace)
		return
	}
	e.cache.add(o.CacheSalt, blocks)
	reply(c, http.StatusOK, upstream.ImportAnswer{
		Chunks: len(blocks),
		Bytes:  e.blockBytes(len(blocks)),
		Millis: time.Since(start).Milliseconds(),
		Store:  load,
	})
}

// fetch reads the blocks of an order; if it fails, it returns the reason.
func (e *Engine) fetch(
	ctx context.Context,
	store *httpjson.Client,
	o upstream.ImportOrder,
) (blocks []prompt.Key, load upstream.StoreLoad, reason string) {
	// The engine's link receives a part while the store sends the next.
	linkDone := make(chan bool, 1)
	linkDone <- true
	for from := 0; from < o.Chunks; from += blocksPerMessage {
		req := upstream.GetBlocks{
			Key:        o.Object.Key,
			Generation: o.Object.Generation,
			Epoch:      o.Object.Epoch,
			Reader:     o.RequestID,
			From:       from,
			Count:      min(blocksPerMessage, o.Chunks-from),
		}
		var part upstream.Blocks
		if err := store.Call(ctx, http.MethodPost, upstream.PathStoreGet, req, &part); err != nil {
			return nil, load, upstream.ReasonGone
		}
		if !<-linkDone {
			return nil, load, upstream.ReasonGone
		}
		go func() { linkDone <- e.link.move(ctx, e.blockBytes(len(part.Blocks)), priorityImport) }()
		blocks = append(blocks, part.Blocks...)
		load = part.Load
	}
	if !<-linkDone {
		return nil, load, upstream.ReasonGone
	}
	if len(blocks) != o.Chunks {
		return nil, load, upstream.ReasonChecksum
	}
	if o.Chunks == o.Object.Chunks && checksumOf(blocks) != o.Object.Checksum {
		return nil, load, upstream.ReasonChecksum
	}
	return blocks, load, ""
}

// exportBlocks copies KV cache blocks to a store: begin, put, seal.
func (e *Engine) exportBlocks(c *fasthttp.RequestCtx) {
	var o upstream.ExportOrder
	if !decode(c, &o) {
		return
	}
	start := time.Now()
	keys := e.cache.chain(o.Key, o.Chunks)
	if keys == nil {
		refuse(c, upstream.ReasonGone)
		return
	}
	store := httpjson.NewClient(o.Store)
	defer store.Close()
	var obj prompt.Object
	begin := upstream.BeginPut{Key: o.Key, Chunks: o.Chunks, Bytes: e.blockBytes(o.Chunks), Marks: o.Marks}
	if err := store.Call(e.ctx, http.MethodPost, upstream.PathStoreBegin, begin, &obj); err != nil {
		refuse(c, upstream.ReasonNoSpace)
		return
	}
	for from := 0; from < len(keys); from += blocksPerMessage {
		part := keys[from:min(from+blocksPerMessage, len(keys))]
		put := upstream.PutBlocks{Key: o.Key, Generation: obj.Generation, Blocks: part, Bytes: e.blockBytes(len(part))}
		if !e.link.move(e.ctx, put.Bytes, priorityExport) ||
			store.Call(e.ctx, http.MethodPost, upstream.PathStorePut, put, nil) != nil {
			refuse(c, upstream.ReasonGone)
			return
		}
	}
	seal := upstream.SealObject{Key: o.Key, Generation: obj.Generation, Checksum: checksumOf(keys)}
	if err := store.Call(e.ctx, http.MethodPost, upstream.PathStoreSeal, seal, &obj); err != nil {
		refuse(c, upstream.ReasonChecksum)
		return
	}
	reply(c, http.StatusOK, upstream.ExportAnswer{Object: obj, Millis: time.Since(start).Milliseconds()})
}
