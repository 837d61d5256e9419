package load

import (
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// entryCache asks the system which address to use, and keeps the answer for as
// long as it may.
type entryCache struct {
	client *http.Client
	first  []netip.AddrPort

	mu    sync.Mutex
	byKey map[string]*cachedEntry
	bad   map[netip.AddrPort]time.Time // Addresses that failed, until when to go round them.
}

// badTerm is how long a caller goes round an address that did not answer.
const badTerm = 3 * time.Second

type cachedEntry struct {
	list  []netip.AddrPort
	until time.Time
	next  int
}

func newEntryCache(client *http.Client, first []netip.AddrPort) *entryCache {
	return &entryCache{client: client, first: first, byKey: map[string]*cachedEntry{}, bad: map[netip.AddrPort]time.Time{}}
}

// get returns the address that a caller with this key should use now. Callers
// of one organisation take turns over the addresses they were given.
func (c *entryCache) get(ctx context.Context, key string) (netip.AddrPort, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.byKey[key]
	if e == nil || time.Now().After(e.until) {
		fresh, err := c.ask(ctx, key)
		if err != nil {
			return netip.AddrPort{}, err
		}
		e = fresh
		c.byKey[key] = e
	}
	for range e.list {
		e.next++
		if addr := e.list[e.next%len(e.list)]; time.Now().After(c.bad[addr]) {
			return addr, nil
		}
	}
	return e.list[e.next%len(e.list)], nil
}

// failed notes an address that did not answer, so that the next one is used.
func (c *entryCache) failed(addr netip.AddrPort) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.bad[addr] = time.Now().Add(badTerm)
}

const askTimeout = 2 * time.Second

// ask asks the first address that answers.
func (c *entryCache) ask(ctx context.Context, key string) (*cachedEntry, error) {
	err := eris.New("no entry addresses")
	for _, addr := range c.first {
		if !time.Now().After(c.bad[addr]) {
			continue
		}
		var e *cachedEntry
		if e, err = c.askOne(ctx, addr, key); err == nil {
			return e, nil
		}
	}
	return nil, err
}

func (c *entryCache) askOne(ctx context.Context, addr netip.AddrPort, key string) (e *cachedEntry, err error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr.String()+"/v1/entries", nil)
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+key)
	resp, err := c.client.Do(req)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return nil, readError(resp)
	}
	var a struct {
		Entries []struct {
			Address netip.AddrPort `json:"address"`
		} `json:"entries"`
		MaxAgeMillis int64 `json:"max_age_ms"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&a); err != nil {
		return nil, err
	}
	e = &cachedEntry{until: time.Now().Add(time.Duration(a.MaxAgeMillis) * time.Millisecond)}
	for _, entry := range a.Entries {
		e.list = append(e.list, entry.Address)
	}
	if len(e.list) == 0 {
		return nil, eris.Errorf("%s named no address", addr)
	}
	return e, nil
}
