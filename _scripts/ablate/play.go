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
	list, sites := missing(names, days, seeds, done)
	fmt.Printf("%d plays done, %d to do\n", len(done), len(list))
	return c.playAll(list, sites, done)
}

// playAll plays several at a time and writes each result as it comes.
func (c *playCommand) playAll(list []play, sites map[string]string, done []result) (err error) {
	trees := &trees{repo: c.Repo, dirs: map[string]*tree{}}
	defer trees.close()
	// Written anew, as the last line may have been cut off.
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
				r, e := c.play(trees, p, sites[p.Site])
				mu.Lock()
				if e == nil {
					e = enc.Encode(r)
				}
				if e != nil {
					fmt.Fprintf(os.Stderr, "%+v: %v\n", p, e)
					err = firstError(err, e)
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

func firstError(a, b error) error {
	if a != nil {
		return a
	}
	return b
}

var (
	worthLine = regexp.MustCompile(`(?m)^worth (-?[0-9.]+) = `)
	codeLine  = regexp.MustCompile(`([0-9.]+) s in the processes' own code`)
	// breach is a rule's name where a line begins.
	breach = regexp.MustCompile(`(?m)^\s*[A-Z]{3,}\b`)
)

// play plays one day and takes its figures from what is printed.
func (c *playCommand) play(ts *trees, p play, site string) (r result, err error) {
	dir, err := ts.get(p.Without)
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
	worth, code := worthLine.FindSubmatch(text), codeLine.FindSubmatch(text)
	if worth == nil || code == nil {
		return r, eris.Errorf("no figures: %v: %s", err, bytes.TrimSpace(text))
	}
	r = result{play: p, Broken: err != nil || breach.Match(text)}
	if r.Worth, err = strconv.ParseFloat(string(worth[1]), 64); err != nil {
		return r, err
	}
	r.OwnCode, err = strconv.ParseFloat(string(code[1]), 64)
	return r, err
}

// trees are working copies of the repository, one for each mechanism that is off.
type trees struct {
	repo string

	mu   sync.Mutex
	dirs map[string]*tree
}

type tree struct {
	once sync.Once
	dir  string
	err  error
}

func (t *trees) get(without string) (string, error) {
	t.mu.Lock()
	x := t.dirs[without]
	if x == nil {
		x = &tree{}
		t.dirs[without] = x
	}
	t.mu.Unlock()
	x.once.Do(func() { x.dir, x.err = t.make(without) })
	return x.dir, x.err
}

// make checks out the last commit and switches a mechanism off in the template of the
// nodes' settings.
func (t *trees) make(without string) (dir string, err error) {
	defer func() { err = eris.Wrapf(err, "working copy without %q", without) }()
	if dir, err = os.MkdirTemp("", "ablate-"); err != nil {
		return "", err
	}
	if text, err := exec.Command("git", "clone", "-q", t.repo, dir).CombinedOutput(); err != nil {
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
		return "", eris.New("no place for the switch in " + path)
	}
	return dir, os.WriteFile(path, []byte(changed), 0o600)
}

// close takes the journals of all copies into the repository and removes the copies.
func (t *trees) close() {
	for _, x := range t.dirs {
		if x.dir == "" {
			continue
		}
		if err := t.keepJournal(x.dir); err != nil {
			fmt.Fprintf(os.Stderr, "journal of %s stays there: %v\n", x.dir, err)
			continue
		}
		_ = os.RemoveAll(x.dir) // What is left is in the temporary directory.
	}
}

func (t *trees) keepJournal(dir string) error {
	entries, err := filepath.Glob(filepath.Join(dir, "journal", "*.json"))
	if err != nil {
		return err
	}
	for _, from := range entries {
		to := filepath.Join(t.repo, "journal", filepath.Base(from))
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
