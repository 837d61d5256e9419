package load

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/netip"
	"sync"
	"time"
)

const (
	// answerTimeout is the time after which a request without an answer is lost.
	answerTimeout = 60 * time.Second
	maxIdleConns  = 1024
)

// Options configure Run.
type Options struct {
	// Entries are the addresses from which to get the list of entry addresses.
	Entries []netip.AddrPort
	// Verify returns the expected answer to a prompt; if nil, answers are not
	// verified.
	Verify func(text string, tokens int) string
	// Attempts is the maximum number of attempts of a request that was refused
	// with not_run or whose node died; 0 means one. Before each retry the client
	// waits for as long as the answer asked.
	Attempts int
	// Observe is called with each complete answer and the time since the start of
	// the load; it may be nil.
	Observe func(since time.Duration, s StreamResult)
	// Progress is called about once a second.
	Progress func(Progress)
	// OnTick is called about once a second; it may be nil.
	OnTick func(since time.Duration)
}

// Progress is the state of a running load.
type Progress struct {
	Since   time.Duration
	Sent    int
	Done    int
	Refused int
	Wrong   int
}

// runner runs one load.
type runner struct {
	profile *Profile
	opts    Options
	client  *http.Client
	entries *entryCache
	tally   *tally
	start   time.Time
}

// Run sends the requests of a profile and waits for the last answer.
func Run(ctx context.Context, p Profile, opts Options) (r Report, err error) {
	if err := p.validate(); err != nil {
		return r, err
	}
	transport := &http.Transport{MaxIdleConns: maxIdleConns, MaxIdleConnsPerHost: maxIdleConns, IdleConnTimeout: 10 * time.Second}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport}
	run := &runner{
		profile: &p,
		opts:    opts,
		client:  client,
		entries: newEntryCache(client, opts.Entries),
		tally:   newTally(p.Name),
		start:   time.Now(),
	}
	run.sendAll(ctx)
	return run.tally.finish(p.Duration.Std() - p.Warm.Std()), ctx.Err()
}

func (r *runner) sendAll(ctx context.Context) {
	done := make(chan struct{})
	var callbacks sync.WaitGroup
	callbacks.Go(func() { r.runCallbacks(done) })
	var wg sync.WaitGroup
	for _, a := range r.profile.schedule() {
		select {
		case <-time.After(time.Until(r.start.Add(a.at))):
		case <-ctx.Done():
		}
		if ctx.Err() != nil {
			break
		}
		wg.Go(func() { r.sendWithRetries(ctx, a) })
	}
	wg.Wait()
	close(done)
	callbacks.Wait()
}

// runCallbacks calls OnTick and Progress once a second until done is closed.
func (r *runner) runCallbacks(done <-chan struct{}) {
	t := time.NewTicker(time.Second)
	defer t.Stop()
	for {
		select {
		case <-done:
			return
		case <-t.C:
		}
		since := time.Since(r.start)
		if r.opts.OnTick != nil {
			r.opts.OnTick(since)
		}
		if r.opts.Progress != nil {
			r.opts.Progress(r.progress(since))
		}
	}
}

func (r *runner) progress(since time.Duration) Progress {
	r.tally.mu.Lock()
	defer r.tally.mu.Unlock()
	rep := r.tally.report
	return Progress{Since: since, Sent: rep.Sent, Done: r.tally.finished, Refused: rep.Refused, Wrong: rep.Wrong}
}

// requestBody is the body of a completion request.
type requestBody struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
}

// sendWithRetries sends one request, with retries, and records its result.
func (r *runner) sendWithRetries(ctx context.Context, a arrival) {
	ctx, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	text := r.profile.promptText(a)
	start := time.Now()
	s, err := r.send(ctx, a, text, start)
	for n := 1; err != nil && n < r.opts.Attempts && ctx.Err() == nil; n++ {
		r.waitBeforeRetry(ctx, err)
		r.countRetry()
		s, err = r.send(ctx, a, text, start)
	}
	if err == nil && r.opts.Observe != nil {
		r.opts.Observe(time.Since(r.start), s)
	}
	if a.at >= r.profile.Warm.Std() {
		r.recordResult(a, text, s, err)
	}
	r.tally.mu.Lock()
	defer r.tally.mu.Unlock()
	r.tally.finished++
}

const minRetryWait = 100 * time.Millisecond

// waitBeforeRetry waits for as long as the last answer asked, at least
// minRetryWait.
func (r *runner) waitBeforeRetry(ctx context.Context, err error) {
	wait := minRetryWait
	var answer *AnswerError
	if errors.As(err, &answer) {
		wait = max(wait, time.Duration(answer.RetryAfterMillis)*time.Millisecond)
	}
	select {
	case <-time.After(wait):
	case <-ctx.Done():
	}
}

func (r *runner) countRetry() {
	r.tally.mu.Lock()
	defer r.tally.mu.Unlock()
	r.tally.report.Retries++
}

func (r *runner) send(ctx context.Context, a arrival, text string, start time.Time) (s StreamResult, err error) {
	entry, err := r.entries.get(ctx, a.organisation.Key)
	if err != nil {
		return s, err
	}
	body, err := json.Marshal(requestBody{
		Model:     r.profile.Model,
		Prompt:    text,
		MaxTokens: r.profile.MaxTokens,
		Stream:    true,
	})
	if err != nil {
		return s, err
	}
	url := "http://" + entry.String() + "/v1/completions"
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return s, err
	}
	req.Header.Set("Authorization", "Bearer "+a.organisation.Key)
	if r.profile.SendDeadline {
		req.Header.Set("Drumpath-Deadline", r.profile.Deadline.Std().String())
	}
	resp, err := r.client.Do(req)
	if err != nil {
		r.entries.markFailed(entry)
		return s, err
	}
	defer func() { _ = resp.Body.Close() }()
	return ReadStream(resp, start)
}

// recordResult records the result of a request after the warm-up.
func (r *runner) recordResult(a arrival, text string, s StreamResult, err error) {
	t := r.tally
	wrong := err == nil && r.opts.Verify != nil && s.Text != r.opts.Verify(text, r.profile.MaxTokens)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.report.Sent++
	if err != nil {
		t.countError(err)
		return
	}
	if wrong {
		t.report.Wrong++
		return
	}
	t.report.Answered++
	t.report.Sources[s.Source]++
	t.promptTokens += s.PromptTokens
	t.recomputedTokens += s.PromptTokens - s.CachedTokens
	record(t.firstToken, s.FirstToken)
	if s.Tokens > 1 {
		record(t.betweenTokens, (s.LastToken-s.FirstToken)/time.Duration(s.Tokens-1))
	}
	if t.firstTokenByOrg[a.organisation.Name] == nil {
		t.firstTokenByOrg[a.organisation.Name] = newHistogram()
	}
	record(t.firstTokenByOrg[a.organisation.Name], s.FirstToken)
	if d := r.profile.Deadline.Std(); d == 0 || s.FirstToken <= d {
		t.report.InDeadline++
	}
}

// countError records a request that failed; the caller holds mu.
func (t *tally) countError(err error) {
	var answer *AnswerError
	if !errors.As(err, &answer) {
		t.report.Lost++
		t.report.Errors[err.Error()]++
		return
	}
	t.report.Errors[answer.Code]++
	switch answer.Ran {
	case "not_run":
		t.report.Refused++
	case "outcome_unknown":
		t.report.Unknown++
	default:
		t.report.Failed++
	}
}
