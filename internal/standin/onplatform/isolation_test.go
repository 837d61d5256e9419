package onplatform_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/drumpath/drumpath/internal/standin/onplatform"
)

// keptPart is a part of a prompt as an engine or a store keeps it.
type keptPart struct{ salt, id string }

// partKeeper is an engine or a store of KV cache, which keeps parts and knows whose requests made them.
type partKeeper struct {
	*onplatform.Replica
	startedAt time.Time

	mu     sync.Mutex
	makers map[keptPart]string
	events []any // As a store lists them.
	// uses are the organisations whose memory each organisation's requests have used since the last call of takeUses.
	uses map[string]map[string]bool
	// used and made count the parts.
	used, made int
}

func newPartKeeper(r *onplatform.Replica) *partKeeper {
	return &partKeeper{Replica: r, startedAt: time.Now(), makers: map[keptPart]string{}, uses: map[string]map[string]bool{}}
}

// startPartKeeping starts a store of KV cache, and an engine that saves there and fetches from there.
func (s *site) startPartKeeping() (engine, store *partKeeper) {
	r, err := onplatform.NewReplica("kv")
	assert.NilError(s.t, err)
	s.t.Cleanup(r.Close)
	store = newPartKeeper(r)
	store.Script(store.serveStore)
	s.extraServices = append(s.extraServices, map[string]any{
		"name": "kv", "kv_store_addr": r.Addr().String(), "zone": "hall-a", "kv_capacity_tokens": 1_000_000,
		"link_mbps": 10_000.0, "max_inflight": 12, "managed": true, "first_ms": 0.5,
	})
	s.configure()
	engine = newPartKeeper(s.startReplica(llmService, "e"))
	engine.Script(func(w io.Writer, r *onplatform.Request) bool {
		if strings.HasPrefix(r.Target, "/-/") {
			return onplatform.NotExecuted(http.StatusServiceUnavailable)(w, r)
		}
		engine.run(r, store)
		return onplatform.Events(1, 2, time.Millisecond, true)(w, r)
	})
	return engine, store
}

// serveStore answers a store's calls.
func (k *partKeeper) serveStore(w io.Writer, r *onplatform.Request) bool {
	target, err := url.Parse(r.Target)
	switch {
	case err == nil && target.Path == "/-/kv-events":
		return k.serveEvents(w, r, target)
	case err == nil && target.Path == "/-/kv-free":
		return k.serveFree(w, r)
	default:
		return onplatform.NotExecuted(http.StatusServiceUnavailable)(w, r)
	}
}

// serveFree frees parts.
func (k *partKeeper) serveFree(w io.Writer, r *onplatform.Request) bool {
	var call struct {
		Parts [][2]string `json:"parts"`
		Until int64       `json:"until_ms"`
	}
	if json.Unmarshal([]byte(r.Body), &call) != nil || call.Until < time.Since(k.startedAt).Milliseconds() {
		return onplatform.NotExecuted(http.StatusConflict)(w, r)
	}
	k.mu.Lock()
	for part := range k.makers {
		name, _, _ := strings.Cut(part.id, ":")
		if slices.Contains(call.Parts, [2]string{part.salt, name}) {
			delete(k.makers, part)
			k.events = append(k.events, []any{len(k.events) + 1, "-", part.salt, name, 0, model})
		}
	}
	k.mu.Unlock()
	return onplatform.OK("{}")(w, r)
}

// kept returns the tokens that a store keeps, by salt.
func (k *partKeeper) kept() map[string]int {
	k.mu.Lock()
	defer k.mu.Unlock()
	tokens := map[string]int{}
	for part := range k.makers {
		_, n, _ := strings.Cut(part.id, ":")
		count, _ := strconv.Atoi(n) // The test's own prompts have numbers here.
		tokens[part.salt] += count
	}
	return tokens
}

// serveEvents answers a poll for a store's events.
func (k *partKeeper) serveEvents(w io.Writer, r *onplatform.Request, target *url.URL) bool {
	since, _ := strconv.Atoi(target.Query().Get("since")) // 0 for none.
	k.mu.Lock()
	newest := len(k.events)
	body, err := json.Marshal(map[string]any{
		"boot_epoch": 7, "next_token": newest, "lost": false, "clock_ms": 1 + time.Since(k.startedAt).Milliseconds(),
		"events": append([]any{}, k.events[min(since, newest):]...),
	})
	k.mu.Unlock()
	if err != nil {
		return false
	}
	if since == newest {
		time.Sleep(20 * time.Millisecond)
	}
	return onplatform.OK(string(body))(w, r)
}

// run has an engine read a prompt, with what it or a store keeps.
func (k *partKeeper) run(r *onplatform.Request, store *partKeeper) {
	k.mu.Lock()
	defer k.mu.Unlock()
	store.mu.Lock()
	defer store.mu.Unlock()
	organisation, salt := r.Header.Get("Tenant"), r.Header.Get("Cache-Salt")
	ids := strings.Split(r.Header.Get("Prefix-Hash"), ",")
	sources, saves := strings.Split(r.Header.Get("Kv-Fetch"), ","), strings.Split(r.Header.Get("Kv-Save"), ",")
	for i, id := range ids {
		part := keptPart{salt: salt, id: id}
		maker, kept := k.makers[part]
		if !kept && i < len(sources) && strings.HasPrefix(sources[i], store.Addr().String()) {
			maker, kept = store.makers[part]
		}
		if kept {
			k.used++
			if k.uses[organisation] == nil {
				k.uses[organisation] = map[string]bool{}
			}
			k.uses[organisation][maker] = true
		} else {
			k.made++
			maker = organisation
		}
		k.makers[part] = maker
		if _, stored := store.makers[part]; !stored && i < len(saves) && saves[i] == store.Addr().String() {
			store.makers[part] = maker
			name, tokens, _ := strings.Cut(id, ":")
			n, _ := strconv.Atoi(tokens) // The test's own prompts have numbers here.
			store.events = append(store.events, []any{len(store.events) + 1, "+", salt, name, n, model})
		}
	}
}

// forget drops what the engine keeps, so that it fetches from the store.
func (k *partKeeper) forget() {
	k.mu.Lock()
	defer k.mu.Unlock()
	clear(k.makers)
}

// takeUses returns the organisations whose memory each organisation's requests have used since the last call, and the share of
// parts that were not read anew.
func (k *partKeeper) takeUses() (uses map[string]map[string]bool, hitShare float64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	uses, hitShare = k.uses, float64(k.used)/float64(max(1, k.used+k.made))
	k.uses, k.used, k.made = map[string]map[string]bool{}, 0, 0
	return uses, hitShare
}

// setOrganisations configures organisations, each with whether it is isolated, and waits until all nodes have that in force.
func (s *site) setOrganisations(isolated map[string]bool, nodes ...*node) {
	s.tenants = nil
	for name, is := range isolated {
		s.tenants = append(s.tenants, map[string]any{"name": name, "api_keys": []string{"key-" + name}, "isolated": is})
	}
	marker := fmt.Sprint("key-marker-", s.version)
	s.tenants = append(s.tenants, map[string]any{"name": "marker", "api_keys": []string{marker}})
	s.configure()
	for _, n := range nodes {
		s.waitUntil("the organisations are in force", func() bool {
			return n.send(strings.Replace(request("GET", "/safe/x", ""), key, marker, 1)).status != http.StatusUnauthorized
		})
	}
}

// What an organisation's requests had made while it shared was used by others after it had become isolated, at engines and
// at stores.
func TestIsolatedOrganisationsMemoryOfEarlierIsNotUsed(t *testing.T) {
	s := newSite(t)
	engine, store := s.startPartKeeping()
	nodes := []*node{s.startReadyNode("n1"), s.startReadyNode("n2")}
	s.waitUntilJoined(nodes...)
	s.waitUntil("parts are saved", func() bool {
		nodes[0].send(prompt("other"))
		return len(store.kept()) > 0
	})
	ask := func(isolated map[string]bool) {
		for round := range 3 {
			for name := range isolated {
				for _, n := range nodes {
					assert.Equal(t, n.send(strings.Replace(prompt("b0"), key, "key-"+name, 1)).status, http.StatusOK)
				}
			}
			if round == 1 {
				time.Sleep(time.Second) // The nodes learn what the store has.
				engine.forget()
			}
		}
	}
	for i, isolated := range []map[string]bool{
		{"alpha": false, "beta": false, "gamma": false},
		{"alpha": true, "beta": false, "gamma": false},
		{"alpha": false, "beta": false, "gamma": false},
		{"alpha": true, "beta": false, "gamma": false},
		{"beta": false, "gamma": false},
		{"alpha": false, "beta": false, "gamma": false},
		{"beta": false, "gamma": false},
		{"alpha": true, "beta": false, "gamma": true},
	} {
		s.setOrganisations(isolated, nodes...)
		engine.takeUses()
		ask(isolated)
		uses, hitShare := engine.takeUses()
		for organisation, makers := range uses {
			for maker := range makers {
				allowed := maker == organisation || !isolated[maker] && !isolated[organisation]
				assert.Check(t, allowed, "step %d: %s uses memory of %s", i, organisation, maker)
			}
		}
		assert.Check(t, hitShare > 0.4, "step %d: %.2f of the parts were kept", i, hitShare)
	}
}

// Others must go on using what they keep when an organisation joins that is isolated from the first day.
func TestOthersKeepTheirMemoryWhenAnIsolatedOrganisationJoins(t *testing.T) {
	s := newSite(t)
	engine, _ := s.startPartKeeping()
	nodes := []*node{s.startReadyNode("n1"), s.startReadyNode("n2")}
	s.waitUntilJoined(nodes...)
	ask := func() {
		for _, n := range nodes {
			for _, name := range []string{"beta", "gamma"} {
				assert.Equal(t, n.send(strings.Replace(prompt("b0"), key, "key-"+name, 1)).status, http.StatusOK)
			}
		}
	}
	isolated := map[string]bool{"beta": false, "gamma": false}
	s.setOrganisations(isolated, nodes...)
	time.Sleep(time.Second) // The nodes learn in which period the organisations share.
	ask()
	for i := range 3 {
		isolated[fmt.Sprint("new-", i)] = true
		s.setOrganisations(isolated, nodes...)
		time.Sleep(time.Second) // The nodes learn that nobody is isolated who has shared.
		engine.takeUses()
		for range 5 {
			ask()
		}
		_, hitShare := engine.takeUses()
		// Of three parts of a prompt the last one is its own.
		assert.Check(t, hitShare > 0.66, "%.3f of the parts were kept", hitShare)
	}
}

// What organisations had shared until one of them became isolated stayed at managed stores for good.
func TestStoreKeepsNothingOfAPeriodThatHasEnded(t *testing.T) {
	const freedWithin = 16 * time.Second
	s := newSite(t)
	engine, store := s.startPartKeeping()
	nodes := []*node{s.startReadyNode("n1"), s.startReadyNode("n2")}
	s.waitUntilJoined(nodes...)
	ask := func() {
		for _, name := range []string{"alpha", "beta"} {
			for _, n := range nodes {
				assert.Equal(t, n.send(strings.Replace(prompt("b0"), key, "key-"+name, 1)).status, http.StatusOK)
			}
		}
	}
	s.setOrganisations(map[string]bool{"alpha": false, "beta": false}, nodes...)
	s.waitUntil("parts are saved", func() bool {
		ask()
		return len(store.kept()) > 0
	})
	before := store.kept()
	assert.Equal(t, len(before), 1)
	s.setOrganisations(map[string]bool{"alpha": true, "beta": false}, nodes...)
	time.Sleep(time.Second)
	engine.forget()
	ask()
	for salt, tokens := range before {
		assert.Equal(t, tokens, 800)
		assert.Assert(t, store.kept()[salt] == tokens, "fetches may be under way")
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if left := store.kept()[salt]; left > 0 {
				return poll.Continue("%d of %d tokens of the ended period are kept", left, tokens)
			}
			return poll.Success()
		}, poll.WithTimeout(freedWithin), poll.WithDelay(50*time.Millisecond))
	}
	assert.Assert(t, len(store.kept()) > 0, "what is used is kept")
}
