package node

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net/http"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"github.com/drumpath/drumpath/internal/standin"
	"github.com/drumpath/drumpath/pkg/prompt"
	"github.com/drumpath/drumpath/pkg/upstream"
	"github.com/drumpath/drumpath/service/operator"
)

// startNode starts a node whose settings name the site's platform services.
func startNode(t testing.TB, site *standin.Site, name string) *Node {
	t.Helper()
	s, err := site.NodeSettings(name)
	assert.NilError(t, err)
	n, err := New(s, slog.New(slog.DiscardHandler), new(slog.LevelVar))
	assert.NilError(t, err)
	n.Start()
	return n
}

// configureNode creates the site's upstreams, a model and an organisation, and waits
// until every engine has reported its load.
func configureNode(t testing.TB, n *Node, site *standin.Site) {
	t.Helper()
	a, err := n.Operator.Run(context.Background(), operator.RunRequest{Text: site.Setup("m", "w1", "o")})
	assert.NilError(t, err)
	for _, r := range a.Results {
		assert.Assert(t, r.Error == nil, "%v", r.Error)
	}
	n.Loads.Poll(context.Background())
	waitUntil(t, func() bool {
		for _, r := range n.Fleet.Status(time.Now()) {
			if r.Report.Weights == "" {
				return false
			}
		}
		return true
	})
}

func waitUntil(t testing.TB, cond func() bool) {
	t.Helper()
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if cond() {
			return
		}
	}
	t.Fatal("condition never came true")
}

func startSite(t testing.TB, cfg standin.SiteConfig) *standin.Site {
	t.Helper()
	site, err := standin.StartSite(cfg)
	assert.NilError(t, err)
	return site
}

func smallSite(engines, stores int) standin.SiteConfig {
	return standin.SiteConfig{
		Engines: engines,
		Stores:  stores,
		Engine:  standin.DefaultEngineConfig(),
		Store:   standin.DefaultStoreConfig(),
	}
}

func TestCloseLeavesNoGoroutine(t *testing.T) {
	before := goleak.IgnoreCurrent()
	site := startSite(t, smallSite(2, 1))
	n := startNode(t, site, "vm-1")
	configureNode(t, n, site)
	post(t, n, strings.Repeat("a prompt ", 1000), 4)
	n.Close()
	site.Close()
	http.DefaultClient.CloseIdleConnections()
	goleak.VerifyNone(t, before,
		// fasthttp's clean-up goroutines sleep for seconds before they end.
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.updateServerDate.func1"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*workerPool).Start.func2"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*HostClient).connsCleaner"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*TCPDialer).tcpAddrsClean"),
	)
}

// post requests a streamed completion and returns the number of events received.
func post(t testing.TB, n *Node, text string, tokens int) int {
	t.Helper()
	body, err := json.Marshal(map[string]any{"model": "m", "prompt": text, "max_tokens": tokens, "stream": true})
	assert.NilError(t, err)
	url := fmt.Sprintf("http://%s/v1/completions", n.Entry.Addr())
	req, err := http.NewRequest(http.MethodPost, url, bytes.NewReader(body))
	assert.NilError(t, err)
	req.Header.Set("Authorization", "Bearer key-o")
	return countEvents(t, req)
}

func countEvents(t testing.TB, req *http.Request) int {
	t.Helper()
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	defer func() { _ = resp.Body.Close() }()
	assert.Equal(t, resp.StatusCode, http.StatusOK)
	events := 0
	scan := bufio.NewScanner(resp.Body)
	for scan.Scan() {
		if strings.HasPrefix(scan.Text(), "data: {") {
			events++
		}
	}
	assert.NilError(t, scan.Err())
	return events
}

// postToEngine sends the same run directly to an engine.
func postToEngine(t testing.TB, e *standin.Engine, text string, tokens int) int {
	t.Helper()
	body, err := json.Marshal(upstream.RunRequest{
		RequestID: "direct", Model: "m", Weights: "w1", Prompt: text, MaxTokens: tokens, CacheSalt: prompt.Scope{}.Root(),
	})
	assert.NilError(t, err)
	req, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s%s", e.Addr(), upstream.PathRun), bytes.NewReader(body))
	assert.NilError(t, err)
	return countEvents(t, req)
}

// BenchmarkRelay measures the overhead of a node: compare node with direct at the
// same number of tokens. Allocations are those of client, node and engine together.
func BenchmarkRelay(b *testing.B) {
	cfg := smallSite(1, 0)
	cfg.Engine.DecodeMS = 0
	cfg.Engine.PrefillRate = 1e12
	site := startSite(b, cfg)
	defer site.Close()
	n := startNode(b, site, "vm-1")
	defer n.Close()
	configureNode(b, n, site)
	text := strings.Repeat("a prompt ", 500)
	for _, tokens := range []int{1, 401} {
		b.Run(fmt.Sprint("direct/tokens=", tokens), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				postToEngine(b, site.Engines[0], text, tokens)
			}
		})
		b.Run(fmt.Sprint("node/tokens=", tokens), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				post(b, n, text, tokens)
			}
		})
	}
}

// postWithContext requests a completion and waits until it is answered or ctx ends.
func postWithContext(ctx context.Context, n *Node, text string) {
	body, _ := json.Marshal(map[string]any{"model": "m", "prompt": text, "max_tokens": 2})
	url := fmt.Sprintf("http://%s/v1/completions", n.Entry.Addr())
	req, _ := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	req.Header.Set("Authorization", "Bearer key-o")
	if resp, err := http.DefaultClient.Do(req); err == nil {
		_ = resp.Body.Close()
	}
}
