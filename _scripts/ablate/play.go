package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"

	"github.com/rotisserie/eris"
)

type playCommand struct {
	Bench   string   `long:"bench" required:"true" value-name:"FILE" description:"the users' bench"`
	Repo    string   `long:"repo" default:"." value-name:"DIR" description:"the repository whose last commit is played"`
	Out     string   `long:"out" default:"ablation.jsonl" value-name:"FILE" description:"results, a line of JSON each; what is there is not played again"`
	Without []string `long:"without" value-name:"NAME" description:"a mechanism to switch off; all without any"`
	Days    []string `long:"day" required:"true" value-name:"'SITE DAY [small]'" description:"a day of a site file"`
	Seeds   []string `long:"seed" default:"own" value-name:"N|own" description:"a seed, or the day's own"`
	Jobs    int      `long:"jobs" default:"2" description:"plays at a time"`
}

// Execute implements flags.Commander.
func (c *playCommand) Execute([]string) error {
	names, err := parseMechanisms(c.Without)
	if err != nil {
		return err
	}
	days, err := parseDays(c.Days)
	if err != nil {
		return err
	}
	seeds, err := parseSeeds(c.Seeds)
	if err != nil {
		return err
	}
	done, err := readResults(c.Out)
	if err != nil {
		return err
	}
	list, sites := remainingPlays(names, days, seeds, done)
	fmt.Printf("%d plays done, %d to do\n", len(done), len(list))
	return c.playAll(list, sites, done)
}

// playAll runs up to Jobs plays at a time and writes each result as soon as its play has ended.
func (c *playCommand) playAll(list []play, sites map[string]string, done []result) (err error) {
	copies := &workingCopies{repo: c.Repo, copies: map[string]*workingCopy{}}
	defer copies.close()
	// The file is rewritten, since its last line may be incomplete.
	out, err := os.Create(c.Out)
	if err != nil {
		return err
	}
	defer func() { err = firstError(err, out.Close()) }()
	enc := json.NewEncoder(out)
	for _, r := range done {
		if err := enc.Encode(r); err != nil {
			return err
		}
	}
	var mu sync.Mutex
	var wg sync.WaitGroup
	work := make(chan play)
	for range max(1, c.Jobs) {
		wg.Go(func() {
			for p := range work {
				r, playErr := c.playDay(copies, p, sites[p.Site])
				mu.Lock()
				if playErr == nil {
					playErr = enc.Encode(r)
				}
				if playErr != nil {
					fmt.Fprintf(os.Stderr, "%+v: %v\n", p, playErr)
					err = firstError(err, playErr)
				}
				mu.Unlock()
			}
		})
	}
	for _, p := range list {
		work <- p
	}
	close(work)
	wg.Wait()
	return err
}

// firstError returns a, or b if a is nil.
func firstError(a, b error) error {
	if a != nil {
		return a
	}
	return b
}

var (
	worthPattern   = regexp.MustCompile(`(?m)^worth (-?[0-9.]+) = `)
	ownCodePattern = regexp.MustCompile(`([0-9.]+) s in the processes' own code`)
	// brokenRulePattern matches the name of a broken rule at the start of a line.
	brokenRulePattern = regexp.MustCompile(`(?m)^\s*[A-Z]{3,}\b`)
)

// playDay runs one play with the bench and parses the figures that the bench prints.
func (c *playCommand) playDay(copies *workingCopies, p play, site string) (r result, err error) {
	dir, err := copies.dir(p.Without)
	if err != nil {
		return r, err
	}
	bench, err := filepath.Abs(c.Bench)
	if err != nil {
		return r, err
	}
	if site, err = filepath.Abs(site); err != nil {
		return r, err
	}
	args := []string{"run", site, p.Day, "--jobs", "1", "--why", "Ablation without: " + p.Without}
	if p.Small {
		args = append(args, "--small")
	}
	if p.Seed > 0 {
		args = append(args, "--seed", strconv.FormatInt(p.Seed, 10))
	}
	cmd := exec.Command(bench, args...)
	cmd.Dir = dir
	text, err := cmd.CombinedOutput()
	worth, ownCode := worthPattern.FindSubmatch(text), ownCodePattern.FindSubmatch(text)
	if worth == nil || ownCode == nil {
		return r, eris.Errorf("no figures: %v: %s", err, bytes.TrimSpace(text))
	}
	r = result{play: p, Broken: err != nil || brokenRulePattern.Match(text)}
	if r.Worth, err = strconv.ParseFloat(string(worth[1]), 64); err != nil {
		return r, err
	}
	r.OwnCode, err = strconv.ParseFloat(string(ownCode[1]), 64)
	return r, err
}

// workingCopies are working copies of the repository, one for each value of play.Without.
type workingCopies struct {
	repo string

	mu     sync.Mutex
	copies map[string]*workingCopy
}

type workingCopy struct {
	once sync.Once
	dir  string
	err  error
}

func (w *workingCopies) dir(without string) (string, error) {
	w.mu.Lock()
	wc := w.copies[without]
	if wc == nil {
		wc = &workingCopy{}
		w.copies[without] = wc
	}
	w.mu.Unlock()
	wc.once.Do(func() { wc.dir, wc.err = w.create(without) })
	return wc.dir, wc.err
}

// create clones the last commit and switches a mechanism off in deploy/node.json, the
// template of the nodes' settings.
func (w *workingCopies) create(without string) (dir string, err error) {
	defer func() { err = eris.Wrapf(err, "working copy without %q", without) }()
	if dir, err = os.MkdirTemp("", "ablate-"); err != nil {
		return "", err
	}
	if text, err := exec.Command("git", "clone", "-q", w.repo, dir).CombinedOutput(); err != nil {
		return "", eris.Wrap(err, string(text))
	}
	if without == "" {
		return dir, nil
	}
	path := filepath.Join(dir, "deploy", "node.json")
	text, err := os.ReadFile(path)
	if err != nil {
		return "", err
	}
	changed := strings.Replace(string(text), "\n{\n", fmt.Sprintf("\n{\n  \"without\": {%q: true},\n", without), 1)
	if changed == string(text) {
		return "", eris.New("no place for the \"without\" setting in " + path)
	}
	return dir, os.WriteFile(path, []byte(changed), 0o600)
}

// close copies the journals of all working copies into the repository and removes the
// working copies.
func (w *workingCopies) close() {
	for _, wc := range w.copies {
		if wc.dir == "" {
			continue
		}
		if err := w.copyJournal(wc.dir); err != nil {
			fmt.Fprintf(os.Stderr, "journal of %s not copied, it stays there: %v\n", wc.dir, err)
			continue
		}
		_ = os.RemoveAll(wc.dir) // If it fails, a part stays in the temporary directory.
	}
}

func (w *workingCopies) copyJournal(dir string) error {
	entries, err := filepath.Glob(filepath.Join(dir, "journal", "*.json"))
	if err != nil {
		return err
	}
	for _, from := range entries {
		to := filepath.Join(w.repo, "journal", filepath.Base(from))
		if _, err := os.Stat(to); err == nil {
			continue
		}
		text, err := os.ReadFile(from)
		if err != nil {
			return err
		}
		if err := os.WriteFile(to, text, 0o600); err != nil {
			return err
		}
	}
	return nil
}
