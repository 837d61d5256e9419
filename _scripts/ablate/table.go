package main

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"

	"gonum.org/v1/gonum/stat"
)

type tableCommand struct {
	Out string `long:"out" default:"ablation.jsonl" value-name:"FILE" description:"results of play"`
}

// Execute implements flags.Commander.
func (c *tableCommand) Execute([]string) error {
	list, err := readResults(c.Out)
	if err != nil {
		return err
	}
	fmt.Print(table(list))
	return nil
}

// table returns a Markdown table with a row for each mechanism: its mean gain in worth with
// the 95 % bootstrap interval over pairs of plays with and without it, and by how much the
// processor time of the nodes' own code grows with it.
func table(list []result) string {
	baseline := map[play]result{}
	names := []string{}
	for _, r := range list {
		if r.Without == "" {
			baseline[r.play] = r
		} else if !slices.Contains(names, r.Without) {
			names = append(names, r.Without)
		}
	}
	var b strings.Builder
	b.WriteString("| mechanism | adds to worth | 95 % of resamplings | differs from zero | by day | own code with it, % | plays | broken without it |\n|---|---|---|---|---|---|---|---|\n")
	for _, name := range names {
		b.WriteString(mechanismRow(name, list, baseline))
	}
	return b.String()
}

func mechanismRow(name string, list []result, baseline map[play]result) string {
	var gains, ownCode []float64
	gainsByDay := map[string][]float64{}
	broken := 0
	for _, r := range list {
		baselinePlay := r.play
		baselinePlay.Without = ""
		b, ok := baseline[baselinePlay]
		if r.Without != name || !ok {
			continue
		}
		gains = append(gains, b.Worth-r.Worth)
		ownCode = append(ownCode, 100*(b.OwnCode/r.OwnCode-1))
		day := r.Site + " " + r.Day
		gainsByDay[day] = append(gainsByDay[day], b.Worth-r.Worth)
		if r.Broken {
			broken++
		}
	}
	if len(gains) == 0 {
		return ""
	}
	low, high := interval(gains)
	significant := "no"
	if low > 0 || high < 0 {
		significant = "yes"
	}
	var days []string
	for day, g := range gainsByDay {
		days = append(days, fmt.Sprintf("%s %+.3f", day, stat.Mean(g, nil)))
	}
	slices.Sort(days)
	return fmt.Sprintf("| %s | %+.3f | %+.3f to %+.3f | %s | %s | %+.1f | %d | %d |\n",
		name, stat.Mean(gains, nil), low, high, significant, strings.Join(days, ", "), stat.Mean(ownCode, nil), len(gains), broken)
}

const (
	resamplings = 10_000
	tailShare   = 0.025 // Outside the interval on each side.
)

// interval returns the percentile bootstrap interval of the mean of paired differences.
func interval(gains []float64) (low, high float64) {
	rng := rand.New(rand.NewPCG(1, uint64(len(gains)))) // A fixed seed, so that the table is reproducible.
	means := make([]float64, resamplings)
	sample := make([]float64, len(gains))
	for i := range means {
		for j := range sample {
			sample[j] = gains[rng.IntN(len(gains))]
		}
		means[i] = stat.Mean(sample, nil)
	}
	slices.Sort(means)
	return stat.Quantile(tailShare, stat.Empirical, means, nil), stat.Quantile(1-tailShare, stat.Empirical, means, nil)
}
