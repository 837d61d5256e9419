package load

import (
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
	"time"

	"github.com/rotisserie/eris"

	"github.com/drumpath/drumpath/pkg/locks"
)

// entryCache asks the system which entry addresses to use, and caches the answer
// for the time that the answer allows.
type entryCache struct {
	client *http.Client
	seeds  []netip.AddrPort

	mu          locks.Mutex
	byKey       map[string]*entryList
	failedUntil map[netip.AddrPort]time.Time // When failed addresses may be used again.
}

// failedEntryCooldown is how long an address that did not answer is avoided.
const failedEntryCooldown = 3 * time.Second

type entryList struct {
	addrs   []netip.AddrPort
	expires time.Time
	next    int
}

func newEntryCache(client *http.Client, seeds []netip.AddrPort) *entryCache {
	return &entryCache{client: client, seeds: seeds, byKey: map[string]*entryList{}, failedUntil: map[netip.AddrPort]time.Time{}}
}

// get returns the address to use for the next request with this API key. The
// requests of one organisation go round-robin over its addresses.
func (c *entryCache) get(ctx context.Context, key string) (netip.AddrPort, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.byKey[key]
	if e == nil || time.Now().After(e.expires) {
		fresh, err := c.fetch(ctx, key)
		if err != nil {
			return netip.AddrPort{}, err
		}
		e = fresh
		c.byKey[key] = e
	}
	for range e.addrs {
		e.next++
		if addr := e.addrs[e.next%len(e.addrs)]; time.Now().After(c.failedUntil[addr]) {
			return addr, nil
		}
	}
	return e.addrs[e.next%len(e.addrs)], nil
}

// markFailed records that an address did not answer, so that others are used.
func (c *entryCache) markFailed(addr netip.AddrPort) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failedUntil[addr] = time.Now().Add(failedEntryCooldown)
}

const fetchTimeout = 2 * time.Second

// fetch gets the entry addresses from the first seed that answers.
func (c *entryCache) fetch(ctx context.Context, key string) (*entryList, error) {
	err := eris.New("no usable entry addresses")
	for _, addr := range c.seeds {
		if !time.Now().After(c.failedUntil[addr]) {
			continue
		}
		var e *entryList
		if e, err = c.fetchFrom(ctx, addr, key); err == nil {
			return e, nil
		}
	}
	return nil, err
}

func (c *entryCache) fetchFrom(ctx context.Context, addr netip.AddrPort, key string) (e *entryList, err error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
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
	e = &entryList{expires: time.Now().Add(time.Duration(a.MaxAgeMillis) * time.Millisecond)}
	for _, entry := range a.Entries {
		e.addrs = append(e.addrs, entry.Address)
	}
	if len(e.addrs) == 0 {
		return nil, eris.Errorf("%s returned no entry addresses", addr)
	}
	return e, nil
}
