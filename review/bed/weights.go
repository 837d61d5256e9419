package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"syscall"
	"time"
)

// The sheet of corrib-boards has 7 nodes, of which any number may be lost, 18 engines and 3 replicas of the
// application. One node in each data hall is started.
const (
	nodeCount   = 3
	engineCount = 18
	appCount    = 3
	clientCount = 54
)

// prompt returns a kind's prompts: two shared parts and one of its own.
func prompt(name string, common, sessions, commonTokens, sessionTokens, ownTokens, out int) func() (usage, parts string) {
	return func() (string, string) {
		own := 1 + rand.IntN(2*ownTokens)
		parts := fmt.Sprintf("%s%02x:%d,%sa%03x:%d,%08x:%d", name, rand.IntN(common), commonTokens, name, rand.IntN(sessions), sessionTokens, rand.Uint32(), own)
		return fmt.Sprintf("%d,%d", commonTokens+sessionTokens+own, out), parts
	}
}

// sheet returns the kinds of requests of corrib-boards at their rates.
func sheet() []*kind {
	const patience = 2400 * time.Millisecond // Eight times the allowed pause of 300 ms.
	return []*kind{
		{name: "spec-screen", method: http.MethodPost, path: "/spec/", timeout: 4 * time.Second, deadline: 4 * time.Second, patience: patience, body: 18000, perS: 61.6, prompt: prompt("a", 4, 738, 2520, 5000, 1670, 9)},
		{name: "cover-draft", method: http.MethodPost, path: "/cover/", timeout: 12 * time.Second, deadline: 12 * time.Second, patience: patience, body: 1700, perS: 42.2, prompt: prompt("b", 40, 505, 119, 531, 177, 49)},
		{name: "job-alert", method: http.MethodPost, path: "/alert/", timeout: 1200 * time.Millisecond, deadline: 2500 * time.Millisecond, body: 600, perS: 26},
		{name: "apply-ack", method: http.MethodGet, path: "/ack/", timeout: 1200 * time.Millisecond, deadline: 2500 * time.Millisecond, perS: 10.4},
	}
}

// configure writes a configuration.
func (b *bed) configure(version int, tenants any) {
	stream := func(name, prefix string, timeout, target, priority, attempts int, resumable bool) map[string]any {
		return map[string]any{
			"name": name, "host": host, "path_prefix": prefix, "kind": "streaming", "timeout_ms": timeout, "target_latency_ms": target,
			"priority": priority, "service": "screen-llm", "max_attempts": attempts, "allow_anonymous": false, "sticky": true, "resumable": resumable, "gap_aim_ms": 300,
		}
	}
	app := func(name, prefix, kind string, attempts int) map[string]any {
		return map[string]any{
			"name": name, "host": host, "path_prefix": prefix, "kind": kind, "timeout_ms": 1200, "target_latency_ms": 150,
			"priority": 2, "service": "boards-app", "max_attempts": attempts, "allow_anonymous": false, "sticky": false, "resumable": false,
		}
	}
	b.store.put("op", "config", map[string]any{
		"config_version": version,
		"routes": []any{
			stream("spec", "/spec/", 4000, 500, 1, 1, false), stream("cover", "/cover/", 12000, 300, 0, 2, true),
			app("alert", "/alert/", "non_idempotent", 1), app("ack", "/ack/", "idempotent", 2),
		},
		"services": []any{
			map[string]any{"name": "screen-llm", "health_path": "/healthz", "max_conns": 360, "protocol": "h1", "tls": false, "engine": map[string]any{
				"slots": engineSlots, "kv_capacity_tokens": engineMemory, "kv_token_bytes": 18432, "link_mbps": 130000.0, "moves": false, "backups": false, "managed": true,
				"stride": tokensPerEvent, "max_inflight": 12, "pin_ms": 4000.0, "hold_ms": 2000.0, "handle_s": 5.0, "models": []any{map[string]any{"name": "m0"}},
			}},
			map[string]any{"name": "boards-app", "health_path": "/healthz", "max_conns": 100, "protocol": "h1", "tls": false},
		},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": tenants,
	})
}

// startSheet starts the site of the sheet and waits until all nodes are ready.
func (b *bed) startSheet() ([]*replica, error) {
	b.configure(7, []any{map[string]any{"name": "org-one", "api_keys": []string{key}, "priority": 1}})
	b.store.put("op", "version/m0", map[string]any{"model": "m0", "config_version": 1})
	var replicas []*replica
	for i := range engineCount + appCount {
		service, model := "screen-llm", "m0"
		if i >= engineCount {
			service, model = "boards-app", ""
		}
		r, err := b.newReplica(fmt.Sprintf("i-%08x", 0x5f3a0000+i), service, fmt.Sprintf("hall-%c", 'a'+i%3), model, b.ip(100+i))
		if err != nil {
			return nil, err
		}
		replicas = append(replicas, r)
	}
	for i := range nodeCount {
		n, err := b.newNode(fmt.Sprintf("front-%d", i+1), fmt.Sprintf("hall-%c", 'a'+i%3), 1+i)
		if err == nil {
			err = n.begin()
		}
		if err != nil {
			return nil, err
		}
	}
	return replicas, waitFor("all nodes are ready", 15*time.Second, func() bool {
		for _, n := range b.nodes {
			if !n.isReady() {
				return false
			}
		}
		return true
	})
}

const (
	bumpEvery  = 4 * time.Second
	bumpFor    = 80 * time.Second
	afterBumps = 6 * time.Second
	finalGrace = 500 * time.Millisecond // After the route's timeout, by the rule.
	// enoughUnanswered is how many requests without an answer end the play early; the rule names eight.
	enoughUnanswered = 12
)

// playWeights names new weights again and again, and judges whether nodes give the final answer in time.
func playWeights(b *bed) (broken bool, err error) {
	replicas, err := b.startSheet()
	if err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	c := b.startClients(clientCount, sheet())
	time.Sleep(5 * time.Second)
	version, end := 1, time.Now().Add(bumpFor)
	for time.Now().Before(end) {
		if b.trouble {
			version++
			b.store.put("op", "version/m0", map[string]any{"model": "m0", "config_version": version})
			b.note("new weights named: version %d", version)
		}
		time.Sleep(bumpEvery)
		if unanswered(c.all()) >= enoughUnanswered {
			break
		}
	}
	time.Sleep(afterBumps)
	var notReady []*node
	for _, n := range b.nodes {
		if !n.isReady() {
			b.note("node %s: running %v, its readiness is not answered with 200", n.name, n.running())
			notReady = append(notReady, n)
		}
	}
	c.end()
	have := map[int64]int{}
	for _, r := range replicas {
		r.mu.Lock()
		if r.model != "" {
			have[r.version]++
		}
		r.mu.Unlock()
	}
	b.note("engines by version of their weights: %v", have)
	broken = b.judgeFinalAnswers(c.all())
	for _, n := range notReady {
		b.noteStacks(n)
	}
	b.noteTries(c.all())
	return broken, nil
}

// unanswered counts the requests that their nodes have neither answered nor closed half a second after their timeout.
func unanswered(tries []*try) (n int) {
	for _, t := range tries {
		if t.kind.patience == 0 && t.left && t.answered > t.kind.timeout+finalGrace {
			n++
		}
	}
	return n
}

// judgeFinalAnswers applies the rule CONFIG on final answers: of the requests still unanswered at their route's
// timeout_ms, more than half, and eight or more, remain without an answer half a second later. Streams don't count
// here, as their clients leave before the timeout.
func (b *bed) judgeFinalAnswers(tries []*try) (broken bool) {
	statuses, atTimeout, later := map[string]map[string]int{}, 0, 0
	perNode := map[string]int{}
	for _, t := range tries {
		result := fmt.Sprint(t.status)
		switch {
		case t.left:
			result = "client left"
		case t.closed:
			result = "closed"
		}
		if statuses[t.kind.name] == nil {
			statuses[t.kind.name] = map[string]int{}
		}
		statuses[t.kind.name][result]++
		if t.kind.patience > 0 || t.answered <= t.kind.timeout {
			continue
		}
		atTimeout++
		if t.answered > t.kind.timeout+finalGrace {
			later++
			perNode[t.node]++
			if later <= 10 {
				b.note("request %s (%s) sent to %s at %.3f s: %s after %d ms", t.id, t.kind.name, t.node, t.sentAt.Sub(b.start).Seconds(), result, t.answered.Milliseconds())
			}
		}
	}
	b.note("%d requests: %v", len(tries), statuses)
	b.note("unanswered at their route's timeout: %d; still unanswered half a second later: %d, by node %v", atTimeout, later, perNode)
	return later >= 8 && 2*later > atTimeout
}

// noteStacks has a node print its goroutines, which ends it, and records those that wait for a mutex of the
// replicas' state.
func (b *bed) noteStacks(n *node) {
	n.signal(syscall.SIGQUIT)
	<-n.done
	waiting := 0
	for text := range bytes.SplitSeq(n.output.Bytes(), []byte("\n\n")) {
		if !bytes.Contains(text, []byte("[sync.Mutex.Lock")) {
			continue
		}
		waiting++
		for _, holder := range []string{"SiteState).ReplacedAt", "SiteState).updatePool"} {
			if bytes.Contains(text, []byte(holder)) && bytes.Contains(text, []byte("route.(*Pool)")) {
				b.note("goroutine of %s:\n%s", n.name, functions(text))
			}
		}
	}
	b.note("%s: %d goroutines wait for a mutex", n.name, waiting)
}

// functions lists the functions of a goroutine's stack, without arguments and files.
func functions(stack []byte) string {
	var list []string
	for line := range strings.SplitSeq(string(stack), "\n") {
		if strings.HasPrefix(line, "github.com/drumpath") {
			name := line[strings.LastIndex(line, "/")+1:]
			list = append(list, "            "+name[:strings.LastIndex(name, "(")])
		}
	}
	return strings.Join(list, "\n")
}
