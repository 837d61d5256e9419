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

// table has a row for each mechanism: what worth it adds, with the interval in which 19 of
// 20 resamplings of the pairs of plays lie, and by how much the nodes' own code takes more
// processor time with it.
func table(list []result) string {
	base := map[play]result{}
	names := []string{}
	for _, r := range list {
		if r.Without == "" {
			base[r.play] = r
		} else if !slices.Contains(names, r.Without) {
			names = append(names, r.Without)
		}
	}
	var b strings.Builder
	b.WriteString("| mechanism | adds to worth | 95 % of resamplings | told from nothing | by day | own code with it, % | plays | broken without it |\n|---|---|---|---|---|---|---|---|\n")
	for _, name := range names {
		b.WriteString(row(name, list, base))
	}
	return b.String()
}

func row(name string, list []result, base map[play]result) string {
	var gains, code []float64
	byDay := map[string][]float64{}
	broken := 0
	for _, r := range list {
		with := r.play
		with.Without = ""
		b, ok := base[with]
		if r.Without != name || !ok {
			continue
		}
		gains = append(gains, b.Worth-r.Worth)
		code = append(code, 100*(b.OwnCode/r.OwnCode-1))
		day := r.Site + " " + r.Day
		byDay[day] = append(byDay[day], b.Worth-r.Worth)
		if r.Broken {
			broken++
		}
	}
	if len(gains) == 0 {
		return ""
	}
	low, high := interval(gains)
	told := "no"
	if low > 0 || high < 0 {
		told = "yes"
	}
	var days []string
	for day, g := range byDay {
		days = append(days, fmt.Sprintf("%s %+.3f", day, stat.Mean(g, nil)))
	}
	slices.Sort(days)
	return fmt.Sprintf("| %s | %+.3f | %+.3f to %+.3f | %s | %s | %+.1f | %d | %d |\n",
		name, stat.Mean(gains, nil), low, high, told, strings.Join(days, ", "), stat.Mean(code, nil), len(gains), broken)
}

const (
	resamplings = 10_000
	tail        = 0.025 // Left out on each side.
)

// interval is the percentile bootstrap interval of the mean of paired differences.
func interval(gains []float64) (low, high float64) {
	rng := rand.New(rand.NewPCG(1, uint64(len(gains)))) // The same table each time.
	means := make([]float64, resamplings)
	sample := make([]float64, len(gains))
	for i := range means {
		for j := range sample {
			sample[j] = gains[rng.IntN(len(gains))]
		}
		means[i] = stat.Mean(sample, nil)
	}
	slices.Sort(means)
	return stat.Quantile(tail, stat.Empirical, means, nil), stat.Quantile(1-tail, stat.Empirical, means, nil)
}
