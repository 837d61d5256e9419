package main

import (
	"encoding/json"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/drumpath/drumpath/pkg/config"
)

// play identifies one run of a bench day: with the mechanism Without switched off, or with
// all mechanisms on if Without is empty.
type play struct {
	Without string `json:"without"`
	Site    string `json:"site"` // The site file's name without .toml.
	Day     string `json:"day"`
	Small   bool   `json:"small"`
	Seed    int64  `json:"seed"` // 0 for the day's own seed.
}

// result is the line of a play in the results file.
type result struct {
	play
	Worth float64 `json:"worth"`
	// OwnCode is the processor time of the nodes' own code in seconds.
	OwnCode float64 `json:"own_code_s"`
	// Broken is set if a rule of the bench was broken or the day did not run to its end.
	Broken bool `json:"broken,omitempty"`
}

// siteDay is a day of a site file, given as "SITE DAY", or "SITE DAY small" for its small
// variant.
type siteDay struct {
	site  string // The site file.
	name  string
	small bool
}

var dayNamePattern = regexp.MustCompile(`(?m)^\[\[day\]\]\s*\n(?:[^\[\n].*\n)*?name = "([^"]+)"`)

// parseDays parses the days and checks that each is in its site file.
func parseDays(list []string) (days []siteDay, err error) {
	for _, text := range list {
		words := strings.Fields(text)
		if len(words) < 2 || len(words) > 3 || len(words) == 3 && words[2] != "small" {
			return nil, eris.Errorf("day %q: want \"SITE DAY\" or \"SITE DAY small\"", text)
		}
		d := siteDay{site: words[0], name: words[1], small: len(words) == 3}
		file, err := os.ReadFile(d.site)
		if err != nil {
			return nil, eris.Wrapf(err, "day %q", text)
		}
		var names []string
		for _, m := range dayNamePattern.FindAllStringSubmatch(string(file), -1) {
			names = append(names, m[1])
		}
		if !slices.Contains(names, d.name) {
			return nil, eris.Errorf("day %q: the site has %s", text, strings.Join(names, ", "))
		}
		days = append(days, d)
	}
	return days, nil
}

// parseMechanisms checks names of mechanisms; it returns all mechanisms if none is given.
func parseMechanisms(list []string) ([]string, error) {
	all, err := allMechanisms()
	if err != nil {
		return nil, err
	}
	for _, name := range list {
		if !slices.Contains(all, name) {
			return nil, eris.Errorf("mechanism %q: there are %s", name, strings.Join(all, ", "))
		}
	}
	if len(list) == 0 {
		list = all
	}
	return list, nil
}

// allMechanisms returns the names of all mechanisms as the settings have them.
func allMechanisms() ([]string, error) {
	text, err := json.Marshal(config.DisabledMechanisms{})
	if err != nil {
		return nil, err
	}
	var names []string
	for _, m := range regexp.MustCompile(`"([a-z_]+)":`).FindAllStringSubmatch(string(text), -1) {
		names = append(names, m[1])
	}
	return names, nil
}

// parseSeeds parses seeds; "own" stands for the day's own seed, 0.
func parseSeeds(list []string) (seeds []int64, err error) {
	for _, text := range list {
		if text == "own" {
			seeds = append(seeds, 0)
			continue
		}
		n, err := strconv.ParseInt(text, 10, 64)
		if err != nil || n <= 0 {
			return nil, eris.Errorf("seed %q: want a number above 0, or \"own\"", text)
		}
		seeds = append(seeds, n)
	}
	return seeds, nil
}

// remainingPlays returns the plays that have no result yet, and the site files by site name. For
// each seed, the plays with all mechanisms on come first.
func remainingPlays(names []string, days []siteDay, seeds []int64, done []result) (list []play, sites map[string]string) {
	sites = map[string]string{}
	finished := map[play]bool{}
	for _, r := range done {
		finished[r.play] = true
	}
	for _, seed := range seeds {
		for _, without := range append([]string{""}, names...) {
			for _, d := range days {
				p := play{Without: without, Site: strings.TrimSuffix(filepath.Base(d.site), ".toml"), Day: d.name, Small: d.small, Seed: seed}
				sites[p.Site] = d.site
				if !finished[p] {
					list = append(list, p)
				}
			}
		}
	}
	return list, sites
}

// readResults reads the results file. It ignores an incomplete last line, so that its play
// is run again.
func readResults(path string) (list []result, err error) {
	text, err := os.ReadFile(path)
	if os.IsNotExist(err) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	lines := strings.SplitAfter(string(text), "\n")
	for i, line := range lines {
		if line == "" {
			continue
		}
		var r result
		if err := json.Unmarshal([]byte(line), &r); err != nil {
			if i == len(lines)-1 {
				break
			}
			return nil, eris.Wrapf(err, "%s, line %d", path, i+1)
		}
		list = append(list, r)
	}
	return list, nil
}
