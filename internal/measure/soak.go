package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/drumpath/drumpath/internal/standin"
	"github.com/drumpath/drumpath/pkg/config"
	"github.com/drumpath/drumpath/pkg/load"
)

// soakCommand runs nodes and stand-ins as processes under load while nodes are
// killed and frozen, stand-ins fail and the configuration changes, and reports
// violated guarantees.
type soakCommand struct {
	Drumpath string        `long:"drumpath" required:"true" description:"the program under test"`
	Standind string        `long:"standind" required:"true" description:"the stand-ins' program"`
	Nodes    int           `long:"nodes" default:"6"`
	Engines  int           `long:"engines" default:"9"`
	Duration time.Duration `long:"duration" default:"10m"`
	Rate     float64       `long:"rate" default:"15"`
	Seed     uint64        `long:"seed" default:"1"`
	Fixtures string        `long:"fixtures" default:"_fixtures"`
}

// soakReport is the result of a soak. OnceDoubled, OnceAnsweredNotRun,
// NotRunButRan and Reverted should be 0, and UnexpectedExits empty.
type soakReport struct {
	Load                load.Report `json:"load"`
	OnceSent            int         `json:"once_sent"`
	OnceAnswered        int         `json:"once_answered"`
	OnceUnknown         int         `json:"once_outcome_unknown"`
	OnceRefused         int         `json:"once_not_run"`
	OnceDoubled         int         `json:"once_doubled"`
	OnceAnsweredNotRun  int         `json:"once_answered_but_not_run"`
	NotRunButRan        int         `json:"not_run_but_ran"`
	Changes             int         `json:"changes_accepted"`
	ChangesRefused      int         `json:"changes_not_accepted"`
	Reverted            int         `json:"changes_reverted"`
	InForceMedian       string      `json:"in_force_median"`
	InForceWorst        string      `json:"in_force_worst"`
	FirstP95InFaults    float64     `json:"first_token_p95_ms_in_faults"`
	FirstP95OutOfFaults float64     `json:"first_token_p95_ms_out_of_faults"`
	Faults              []string    `json:"faults"`
	UnexpectedExits     []string    `json:"processes_that_ended_badly"`
}

// Execute implements flags.Commander.
func (c *soakCommand) Execute([]string) error {
	dir, err := os.MkdirTemp("", "soak")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	f, err := startFleet(c, dir)
	defer f.close()
	if err != nil {
		return err
	}
	s := &soak{command: c, fleet: f, rng: rand.New(rand.NewPCG(c.Seed, 1)), once: map[string]onceState{}}
	if err := s.run(); err != nil {
		return err
	}
	body, err := json.MarshalIndent(s.report, "", "  ")
	if err != nil {
		return err
	}
	fmt.Printf("%s\n", body)
	return nil
}

// onceState is what a client knows of the outcome of a request that must not be repeated.
type onceState string

const (
	onceAnswered onceState = "answered"
	onceUnknown  onceState = "unknown"
	onceRefused  onceState = "refused"
)

// soak is the state of one run.
type soak struct {
	command *soakCommand
	fleet   *fleet
	rng     *rand.Rand // Used only by faultLoop.
	report  soakReport

	mu            sync.Mutex
	once          map[string]onceState
	inForce       []time.Duration
	newestVersion uint64 // Newest version of the configuration that was accepted.
	faultWindows  []faultWindow
	firstTokens   []firstToken
}

// faultWindow is a time with a fault, as offsets from the start of the run.
type faultWindow struct{ from, to time.Duration }

// firstToken is how long a first token took, with its offset from the start of the run.
type firstToken struct{ at, took time.Duration }

const (
	onceEvery      = 200 * time.Millisecond
	changeEvery    = 2 * time.Second
	faultEvery     = 8 * time.Second
	faultAftermath = 3 * time.Second // Added to each faultWindow for the effects that outlast the fault.
	attempts       = 8
)

func (s *soak) run() error {
	profile, err := load.ReadProfile(filepath.Join(s.command.Fixtures, "corrib.load.json"))
	if err != nil {
		return err
	}
	profile.Name = "soak"
	profile.Rate = s.command.Rate
	profile.Warm = config.Duration(5 * time.Second)
	profile.Duration = config.Duration(s.command.Duration)
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	start := time.Now()
	wg.Go(func() { s.faultLoop(ctx, start) })
	wg.Go(func() { s.changeLoop(ctx) })
	wg.Go(func() { s.onceLoop(ctx) })
	s.report.Load, err = load.Run(context.Background(), profile, load.Options{
		Entries:  s.fleet.entries(),
		Verify:   standin.Answer,
		Attempts: attempts,
		Observe: func(since time.Duration, a load.StreamResult) {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.firstTokens = append(s.firstTokens, firstToken{at: since, took: a.FirstToken})
		},
		Progress: func(p load.Progress) {
			if int(p.Since.Seconds())%30 == 0 {
				fmt.Fprintf(os.Stderr, "%s: sent %d, done %d, refused %d, wrong %d\n",
					p.Since.Round(time.Second), p.Sent, p.Done, p.Refused, p.Wrong)
			}
		},
	})
	cancel()
	wg.Wait()
	if err != nil {
		return err
	}
	s.finish()
	return nil
}

// finish compares the service's own counts with the answers that clients got.
func (s *soak) finish() {
	runs := s.fleet.serviceRuns()
	for body, state := range s.once {
		n := runs[body]
		s.report.OnceSent++
		switch state {
		case onceAnswered:
			s.report.OnceAnswered++
			if n == 0 {
				s.report.OnceAnsweredNotRun++
			}
		case onceUnknown:
			s.report.OnceUnknown++
		case onceRefused:
			s.report.OnceRefused++
			if n > 0 {
				s.report.NotRunButRan++
			}
		}
		if n > 1 {
			s.report.OnceDoubled++
		}
	}
	slices.Sort(s.inForce)
	if n := len(s.inForce); n > 0 {
		s.report.InForceMedian = s.inForce[n/2].Round(time.Millisecond).String()
		s.report.InForceWorst = s.inForce[n-1].Round(time.Millisecond).String()
	}
	var outOfFaults, inFaults []time.Duration
	for _, f := range s.firstTokens {
		if slices.ContainsFunc(s.faultWindows, func(w faultWindow) bool { return f.at >= w.from && f.at <= w.to+faultAftermath }) {
			inFaults = append(inFaults, f.took)
		} else {
			outOfFaults = append(outOfFaults, f.took)
		}
	}
	s.report.FirstP95OutOfFaults = percentile95(outOfFaults)
	s.report.FirstP95InFaults = percentile95(inFaults)
	s.report.UnexpectedExits = s.fleet.listUnexpectedExits()
}

func percentile95(list []time.Duration) float64 {
	if len(list) == 0 {
		return 0
	}
	slices.Sort(list)
	return float64(list[len(list)*95/100].Microseconds()) / 1000
}

// onceLoop sends requests that must not be repeated. Like a real client, it tries
// another node after a connection failure or a not_run.
func (s *soak) onceLoop(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for i := 0; ctx.Err() == nil; i++ {
		wg.Go(func() {
			key := fmt.Sprint("pickup-", i)
			state := s.sendOnce(key, i)
			s.mu.Lock()
			defer s.mu.Unlock()
			s.once[key] = state
		})
		select {
		case <-time.After(onceEvery):
		case <-ctx.Done():
		}
	}
}

// sendOnce sends one such request until it has a final answer. A not_run covers
// only its own attempt: after an attempt without any answer, the outcome stays
// unknown unless a later attempt is answered.
func (s *soak) sendOnce(key string, firstNode int) onceState {
	unanswered := false
	for attempt := range attempts {
		code, body := s.fleet.callOnce((firstNode+attempt)%s.command.Nodes, key)
		switch {
		case code == 200:
			return onceAnswered
		case code == 0:
			unanswered = true
		case body.Ran == "not_run":
			time.Sleep(min(3*time.Second, time.Duration(body.RetryAfterMillis)*time.Millisecond))
			continue
		default:
			return onceUnknown
		}
		time.Sleep(100 * time.Millisecond)
	}
	if unanswered {
		return onceUnknown
	}
	return onceRefused
}

// changeLoop changes the configuration, measures how long each change takes to
// reach all running nodes and counts versions that go backwards.
func (s *soak) changeLoop(ctx context.Context) {
	for i := 0; ctx.Err() == nil; i++ {
		version, ok := s.fleet.runStatements(i%s.command.Nodes, fmt.Sprintf("alter organisation o9 with share %d", 1+i%3))
		s.mu.Lock()
		if ok {
			s.report.Changes++
			s.newestVersion = max(s.newestVersion, version)
		} else {
			s.report.ChangesRefused++
		}
		s.mu.Unlock()
		if ok {
			s.measureTimeInForce(ctx, version)
		}
		select {
		case <-time.After(changeEvery):
		case <-ctx.Done():
		}
	}
}

// measureTimeInForce records how long it takes until all running nodes have a
// version.
func (s *soak) measureTimeInForce(ctx context.Context, version uint64) {
	start := time.Now()
	lastSeen := map[int]uint64{}
	for ctx.Err() == nil {
		behind := false
		for i := range s.command.Nodes {
			if !s.fleet.running(i) {
				continue
			}
			current, err := s.fleet.configVersion(i)
			if err != nil || current < version {
				behind = true
			}
			if err == nil && current < lastSeen[i] && current > 0 {
				s.mu.Lock()
				s.report.Reverted++
				s.mu.Unlock()
			}
			if err == nil {
				lastSeen[i] = current
			}
		}
		if !behind {
			s.mu.Lock()
			s.inForce = append(s.inForce, time.Since(start))
			s.mu.Unlock()
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// faultLoop periodically injects one fault or two at once.
func (s *soak) faultLoop(ctx context.Context, start time.Time) {
	for ctx.Err() == nil {
		select {
		case <-time.After(faultEvery):
		case <-ctx.Done():
			return
		}
		from := time.Since(start)
		var wg sync.WaitGroup
		for _, kind := range s.rng.Perm(faultKinds)[:1+s.rng.IntN(2)] {
			description, end := s.startFault(kind)
			s.report.Faults = append(s.report.Faults, fmt.Sprintf("%s %s", from.Round(time.Second), description))
			wg.Go(end)
		}
		wg.Wait()
		s.mu.Lock()
		s.faultWindows = append(s.faultWindows, faultWindow{from: from, to: time.Since(start)})
		s.mu.Unlock()
	}
}

// faultKinds is how many kinds of fault startFault knows.
const faultKinds = 7

// startFault starts a fault of a kind and returns its description and the
// function that ends it.
func (s *soak) startFault(kind int) (description string, end func()) {
	f := s.fleet
	node := s.rng.IntN(s.command.Nodes)
	engine := s.rng.IntN(s.command.Engines)
	duration := time.Duration(1+s.rng.IntN(4)) * time.Second
	switch kind {
	case 0:
		f.kill(node)
		return fmt.Sprintf("node %d killed for %s", node, duration), func() {
			time.Sleep(duration)
			f.startNode(node)
		}
	case 1:
		f.freeze(node, true)
		return fmt.Sprintf("node %d frozen for %s", node, duration), func() {
			time.Sleep(duration)
			f.freeze(node, false)
		}
	case 2:
		f.setFault(f.table, standin.Fault{Down: true})
		return fmt.Sprintf("table service down for %s", duration), func() {
			time.Sleep(duration)
			f.setFault(f.table, standin.Fault{})
		}
	case 3:
		f.setFault(f.table, standin.Fault{LoseAnswers: 10, LateMillis: int64(s.rng.IntN(800))})
		return "ten answers of the table service lost", func() { time.Sleep(duration) }
	case 4:
		f.setFault(f.engines[engine], standin.Fault{BreakAfter: 3})
		return fmt.Sprintf("engine %d cuts off answers for %s", engine, duration), func() {
			time.Sleep(duration)
			f.setFault(f.engines[engine], standin.Fault{})
		}
	case 5:
		f.setFault(f.engines[engine], standin.Fault{CrossAnswers: true})
		return fmt.Sprintf("engine %d answers with wrong request ids for %s", engine, duration), func() {
			time.Sleep(duration)
			f.setFault(f.engines[engine], standin.Fault{})
		}
	default:
		store := f.stores[s.rng.IntN(len(f.stores))]
		f.setFault(store, standin.Fault{Restart: true, LinkFactor: 0.1})
		return fmt.Sprintf("a store restarted and slow for %s", duration), func() {
			time.Sleep(duration)
			f.setFault(store, standin.Fault{})
		}
	}
}
