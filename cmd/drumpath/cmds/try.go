package cmds

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/drumpath/drumpath/internal/standin"
	"github.com/drumpath/drumpath/pkg/load"
	"github.com/drumpath/drumpath/service/node"
	"github.com/drumpath/drumpath/service/operator"
)

const tryHelp = `Starts a node and small stand-ins of engines, a store and the platform
in this process, on loopback. It sends a long prompt, has the engines
forget it, sends it again, and prints for both the time to the first
token, how much was recomputed, and where the rest came from. It exits
non-zero if nothing was reused.

Example: drumpath try --json`

type tryCommand struct {
	JSON bool `long:"json" description:"print JSON"`
	std  stdio
}

// tryReport is what try prints.
type tryReport struct {
	First     tryRun `json:"first"`
	Returning tryRun `json:"returning"`
}

type tryRun struct {
	TTFTMillis       float64 `json:"ttft_ms"`
	PromptTokens     int     `json:"prompt_tokens"`
	RecomputedTokens int     `json:"recomputed_tokens"`
	Source           string  `json:"source"`
}

func (r tryRun) print(std stdio, name string) {
	std.printf("%-10s %10.1f %14d %11d  %s\n", name, r.TTFTMillis, r.PromptTokens, r.RecomputedTokens, r.Source)
}

const (
	tryOrganisation = "corrib"
	tryModel        = "m"
	tryPromptBytes  = 64 << 10
	tryKeptWait     = 10 * time.Second
	tryPoll         = 20 * time.Millisecond
	tryReusedShare  = 0.1
	// Computing the prompt takes about 1.6 s and importing it 0.4 s, long enough
	// that what else the machine does hardly matters.
	tryPrefillRate = 10_000
	tryLinkRate    = 40e6
)

// Execute implements flags.Commander.
func (c *tryCommand) Execute([]string) error {
	report, err := c.run()
	if err != nil {
		return err
	}
	if c.JSON {
		if err := c.std.printJSON(report); err != nil {
			return err
		}
	} else {
		c.std.printf("%-10s %10s %14s %11s  %s\n", "", "ttft_ms", "prompt_tokens", "recomputed", "source")
		report.First.print(c.std, "first")
		report.Returning.print(c.std, "returning")
	}
	if float64(report.Returning.RecomputedTokens) >= tryReusedShare*float64(report.First.RecomputedTokens) {
		c.std.errorf("the returning prompt was not reused\n")
		return &exitError{code: ExitFailed}
	}
	return nil
}

func (c *tryCommand) run() (report tryReport, err error) {
	defer func() { err = eris.Wrap(err, "try") }()
	engine := standin.DefaultEngineConfig()
	engine.PrefillRate = tryPrefillRate
	engine.LinkRate = tryLinkRate
	site, err := standin.StartSite(standin.SiteConfig{
		Engines: 2,
		Stores:  1,
		Engine:  engine,
		Store:   standin.DefaultStoreConfig(),
	})
	if err != nil {
		return report, err
	}
	defer site.Close()
	cfg, err := site.NodeSettings("vm-1")
	if err != nil {
		return report, err
	}
	log, level := node.NewLogger(cfg.Log, c.std.err)
	n, err := node.New(cfg, log, level)
	if err != nil {
		return report, err
	}
	n.Start()
	defer n.Close()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	if err := setUp(ctx, n, site.Setup(tryModel, site.Engines[0].Stats().State.Weights, tryOrganisation)); err != nil {
		return report, err
	}
	n.Loads.Poll(ctx)
	text := strings.Repeat("A long job specification, screened against again and again. ", tryPromptBytes/60)
	if report.First, err = tryOnce(ctx, n.Entry.Addr(), text); err != nil {
		return report, err
	}
	if err := waitKept(ctx, site); err != nil {
		return report, err
	}
	for _, e := range site.Engines {
		e.Evict()
	}
	if err := waitForgotten(ctx, n); err != nil {
		return report, err
	}
	report.Returning, err = tryOnce(ctx, n.Entry.Addr(), text)
	return report, err
}

// setUp carries out a script on a node of this process.
func setUp(ctx context.Context, n *node.Node, script string) error {
	a, err := n.Operator.Run(ctx, operator.RunRequest{Text: script})
	if err != nil {
		return err
	}
	for _, r := range a.Results {
		if r.Error != nil {
			return r.Error
		}
	}
	return nil
}

// waitKept waits until a store has the prompt.
func waitKept(ctx context.Context, site *standin.Site) error {
	ctx, cancel := context.WithTimeout(ctx, tryKeptWait)
	defer cancel()
	return poll(ctx, "the prompt was not kept", func() bool { return site.Stores[0].Stats().Objects > 0 })
}

// waitForgotten waits until the node has heard that the engines hold nothing.
func waitForgotten(ctx context.Context, n *node.Node) error {
	ctx, cancel := context.WithTimeout(ctx, tryKeptWait)
	defer cancel()
	return poll(ctx, "the engines did not forget", func() bool {
		for _, w := range n.Watches.Status() {
			if w.Kind == "engine" && w.Entries > 0 {
				return false
			}
		}
		return true
	})
}

func poll(ctx context.Context, failure string, cond func() bool) error {
	for !cond() {
		select {
		case <-ctx.Done():
			return eris.New(failure)
		case <-time.After(tryPoll):
		}
	}
	return nil
}

// tryOnce sends the prompt as a caller would, and verifies the answer.
func tryOnce(ctx context.Context, entry netip.AddrPort, text string) (r tryRun, err error) {
	const tokens = 16
	body, err := json.Marshal(map[string]any{"model": tryModel, "prompt": text, "max_tokens": tokens, "stream": true})
	if err != nil {
		return r, err
	}
	url := fmt.Sprintf("http://%s/v1/completions", entry)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return r, err
	}
	req.Header.Set("Authorization", "Bearer key-"+tryOrganisation)
	start := time.Now()
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return r, err
	}
	defer func() { _ = resp.Body.Close() }()
	a, err := load.ReadStream(resp, start)
	if err != nil {
		return r, err
	}
	if want := standin.Answer(text, tokens); a.Text != want {
		return r, eris.Errorf("wrong answer: %q, wanted %q", a.Text, want)
	}
	return tryRun{
		TTFTMillis:       float64(a.FirstToken.Microseconds()) / 1000,
		PromptTokens:     a.PromptTokens,
		RecomputedTokens: a.PromptTokens - a.CachedTokens,
		Source:           a.Source,
	}, nil
}
