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
	// answerTimeout is how long a caller waits before its request counts as lost.
	answerTimeout = 60 * time.Second
	maxIdleConns  = 1024
)

// Options say how a load is put on.
type Options struct {
	// Entries are addresses to ask first which addresses to use.
	Entries []netip.AddrPort
	// Verify returns the right answer to a prompt, nil to verify nothing.
	Verify func(text string, tokens int) string
	// Attempts is how often a caller sends a request at most, when it was
	// refused with not_run or its node died; 0 stands for once. It waits for as
	// long as it was told.
	Attempts int
	// Observe is called with each answer that came and its time since the load's
	// start; it may be nil.
	Observe func(since time.Duration, s StreamResult)
	// Progress is called about once a second.
	Progress func(Progress)
	// OnTick is called when the load has run for some time; it may be nil.
	OnTick func(since time.Duration)
}

// Progress is how far a load has come.
type Progress struct {
	Since   time.Duration
	Sent    int
	Done    int
	Refused int
	Wrong   int
}

// runner puts one load on.
type runner struct {
	profile *Profile
	opts    Options
	client  *http.Client
	entries *entryCache
	tally   *tally
	start   time.Time
}

// Run puts a load on and waits for its last answer.
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

// runCallbacks calls the options' callbacks as time goes on.
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

// requestBody is the body of a completion.
type requestBody struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
}

// sendWithRetries sends one request and tallies its end.
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

// waitBeforeRetry waits before the next attempt, for as long as the answer asked.
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

// recordResult tallies one request that came after the warm-up.
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

// countError tallies a request that was not answered; the caller holds mu.
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
