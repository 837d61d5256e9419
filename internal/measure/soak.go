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

// soakCommand runs nodes and stand-ins as processes under load, kills, freezes,
// outages and changes of configuration, and checks what must always hold.
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

// soakReport is what a soak found; all counts but the first should be 0.
type soakReport struct {
	Load           load.Report `json:"load"`
	OnceSent       int         `json:"once_sent"`
	OnceAnswered   int         `json:"once_answered"`
	OnceUnknown    int         `json:"once_outcome_unknown"`
	OnceRefused    int         `json:"once_not_run"`
	OnceDoubled    int         `json:"once_doubled"`
	OnceLost       int         `json:"once_answered_but_not_run"`
	WronglyRefused int         `json:"not_run_but_ran"`
	Changes        int         `json:"changes_accepted"`
	ChangesRefused int         `json:"changes_not_accepted"`
	Reverted       int         `json:"changes_reverted"`
	InForceMedian  string      `json:"in_force_median"`
	InForceWorst   string      `json:"in_force_worst"`
	FirstP95Fault  float64     `json:"first_token_p95_ms_in_faults"`
	FirstP95Calm   float64     `json:"first_token_p95_ms_out_of_faults"`
	Faults         []string    `json:"faults"`
	BadEnds        []string    `json:"processes_that_ended_badly"`
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

// onceState is how a request that must not be repeated has ended for its
// caller.
type onceState string

const (
	onceAnswered onceState = "answered"
	onceUnknown  onceState = "unknown"
	onceRefused  onceState = "refused"
)

// soak is one run.
type soak struct {
	command *soakCommand
	fleet   *fleet
	rng     *rand.Rand // Only used by the fault loop.
	report  soakReport

	mu      sync.Mutex
	once    map[string]onceState
	inForce []time.Duration
	last    uint64 // Version last seen accepted.
	faulty  []window
	firsts  []firstToken
}

// window is a time in which something was wrong, with what follows it.
type window struct{ from, to time.Duration }

type firstToken struct{ at, took time.Duration }

const (
	onceEvery   = 200 * time.Millisecond
	changeEvery = 2 * time.Second
	faultEvery  = 8 * time.Second
	faultTail   = 3 * time.Second // After a fault its effects still count.
	attempts    = 8
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
			s.firsts = append(s.firsts, firstToken{at: since, took: a.FirstToken})
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

// finish checks the upstreams' own counts against what callers were told.
func (s *soak) finish() {
	runs := s.fleet.serviceRuns()
	for body, state := range s.once {
		n := runs[body]
		s.report.OnceSent++
		switch state {
		case onceAnswered:
			s.report.OnceAnswered++
			if n == 0 {
				s.report.OnceLost++
			}
		case onceUnknown:
			s.report.OnceUnknown++
		case onceRefused:
			s.report.OnceRefused++
			if n > 0 {
				s.report.WronglyRefused++
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
	var calm, fault []time.Duration
	for _, f := range s.firsts {
		if slices.ContainsFunc(s.faulty, func(w window) bool { return f.at >= w.from && f.at <= w.to+faultTail }) {
			fault = append(fault, f.took)
		} else {
			calm = append(calm, f.took)
		}
	}
	s.report.FirstP95Calm = percentile95(calm)
	s.report.FirstP95Fault = percentile95(fault)
	s.report.BadEnds = s.fleet.badEnds()
}

func percentile95(list []time.Duration) float64 {
	if len(list) == 0 {
		return 0
	}
	slices.Sort(list)
	return float64(list[len(list)*95/100].Microseconds()) / 1000
}

// onceLoop sends requests that must not be repeated. As callers do, it asks
// another node when one dies, and again when it was told not_run.
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

// sendOnce sends one such request until it has a final answer. A caller that
// was once left without an answer only believes an answer or outcome_unknown,
// so a later not_run is for that attempt alone.
func (s *soak) sendOnce(key string, i int) onceState {
	doubt := false
	for n := range attempts {
		code, body := s.fleet.callOnce((i+n)%s.command.Nodes, key)
		switch {
		case code == 200:
			return onceAnswered
		case code == 0:
			doubt = true
		case body.Ran == "not_run":
			time.Sleep(min(3*time.Second, time.Duration(body.RetryAfterMillis)*time.Millisecond))
			continue
		default:
			return onceUnknown
		}
		time.Sleep(100 * time.Millisecond)
	}
	if doubt {
		return onceUnknown
	}
	return onceRefused
}

// changeLoop changes the configuration and times until all running nodes have
// it; a version that falls is counted.
func (s *soak) changeLoop(ctx context.Context) {
	for i := 0; ctx.Err() == nil; i++ {
		version, ok := s.fleet.change(i%s.command.Nodes, fmt.Sprintf("alter organisation o9 with share %d", 1+i%3))
		s.mu.Lock()
		if ok {
			s.report.Changes++
			s.last = max(s.last, version)
		} else {
			s.report.ChangesRefused++
		}
		s.mu.Unlock()
		if ok {
			s.timeInForce(ctx, version)
		}
		select {
		case <-time.After(changeEvery):
		case <-ctx.Done():
		}
	}
}

func (s *soak) timeInForce(ctx context.Context, version uint64) {
	start := time.Now()
	seen := map[int]uint64{}
	for ctx.Err() == nil {
		behind := false
		for i := range s.command.Nodes {
			if !s.fleet.running(i) {
				continue
			}
			v, err := s.fleet.version(i)
			if err != nil || v < version {
				behind = true
			}
			if err == nil && v < seen[i] && v > 0 {
				s.mu.Lock()
				s.report.Reverted++
				s.mu.Unlock()
			}
			if err == nil {
				seen[i] = v
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

// faultLoop brings about a fault now and then, sometimes two at once.
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
			what, undo := s.oneFault(kind)
			s.report.Faults = append(s.report.Faults, fmt.Sprintf("%s %s", from.Round(time.Second), what))
			wg.Go(undo)
		}
		wg.Wait()
		s.mu.Lock()
		s.faulty = append(s.faulty, window{from: from, to: time.Since(start)})
		s.mu.Unlock()
	}
}

// faultKinds is how many kinds of fault there are.
const faultKinds = 7

// oneFault starts a fault of a kind and returns what ends it.
func (s *soak) oneFault(kind int) (what string, undo func()) {
	f := s.fleet
	i := s.rng.IntN(s.command.Nodes)
	e := s.rng.IntN(s.command.Engines)
	long := time.Duration(1+s.rng.IntN(4)) * time.Second
	switch kind {
	case 0:
		f.kill(i)
		return fmt.Sprintf("node %d killed for %s", i, long), func() {
			time.Sleep(long)
			f.startNode(i)
		}
	case 1:
		f.freeze(i, true)
		return fmt.Sprintf("node %d frozen for %s", i, long), func() {
			time.Sleep(long)
			f.freeze(i, false)
		}
	case 2:
		f.fault(f.table, standin.Fault{Down: true})
		return fmt.Sprintf("table service down for %s", long), func() {
			time.Sleep(long)
			f.fault(f.table, standin.Fault{})
		}
	case 3:
		f.fault(f.table, standin.Fault{LoseAnswers: 10, LateMillis: int64(s.rng.IntN(800))})
		return "ten answers of the table service lost", func() { time.Sleep(long) }
	case 4:
		f.fault(f.engines[e], standin.Fault{BreakAfter: 3})
		return fmt.Sprintf("engine %d breaks off runs for %s", e, long), func() {
			time.Sleep(long)
			f.fault(f.engines[e], standin.Fault{})
		}
	case 5:
		f.fault(f.engines[e], standin.Fault{CrossAnswers: true})
		return fmt.Sprintf("engine %d crosses answers for %s", e, long), func() {
			time.Sleep(long)
			f.fault(f.engines[e], standin.Fault{})
		}
	default:
		st := f.stores[s.rng.IntN(len(f.stores))]
		f.fault(st, standin.Fault{Restart: true, LinkFactor: 0.1})
		return fmt.Sprintf("a store restarted and slow for %s", long), func() {
			time.Sleep(long)
			f.fault(st, standin.Fault{})
		}
	}
}
