package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const siteFile = "name = \"s\"\n\n[[day]]\nname = \"quiet-1\"\nplan = []\n\n[[day]]\nname = \"scale-1\"\n"

func writeFile(t *testing.T, name, text string) string {
	path := filepath.Join(t.TempDir(), name)
	assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

// Plays take long, so a misspelt argument must be rejected before the first one.
func TestUnknownNamesAreRejectedBeforeAnyPlay(t *testing.T) {
	site := writeFile(t, "s.toml", siteFile)
	out := filepath.Join(t.TempDir(), "out.jsonl")
	for want, c := range map[string]playCommand{
		"mechanism \"magic\"": {Without: []string{"magic"}, Days: []string{site + " quiet-1"}},
		"quiet-1, scale-1":    {Days: []string{site + " quiet-9"}},
		"seed \"x\"":          {Days: []string{site + " quiet-1 small"}, Seeds: []string{"x"}},
		"want \"SITE DAY\"":   {Days: []string{site}},
	} {
		c.Out, c.Bench = out, "/nowhere"
		assert.ErrorContains(t, c.Execute(nil), want)
	}
	_, err := os.Stat(out)
	assert.Assert(t, os.IsNotExist(err))
}

// The incomplete last line is that of a run that was stopped while it wrote a result: its
// play is run again, the others are not.
func TestFinishedPlaysAreNotPlayedAgain(t *testing.T) {
	site := writeFile(t, "s.toml", siteFile)
	days, err := parseDays([]string{site + " quiet-1", site + " scale-1"})
	assert.NilError(t, err)
	out := writeFile(t, "out.jsonl", `{"without":"","site":"s","day":"quiet-1","small":false,"seed":0,"worth":0.5,"own_code_s":2}`+"\n"+`{"without":"","site":"s","day":"sca`)
	done, err := readResults(out)
	assert.NilError(t, err)
	assert.Equal(t, len(done), 1)
	list, _ := remainingPlays([]string{"saves"}, days, []int64{0}, done)
	assert.DeepEqual(t, list, []play{{Site: "s", Day: "scale-1"}, {Without: "saves", Site: "s", Day: "quiet-1"}, {Without: "saves", Site: "s", Day: "scale-1"}})
}

func TestTableMarksIntervalsThatExcludeZero(t *testing.T) {
	var list []result
	for seed, worth := range []float64{0.50, 0.52, 0.54, 0.51} {
		p := play{Site: "s", Day: "quiet-1", Seed: int64(seed)}
		list = append(list, result{play: p, Worth: worth, OwnCode: 1.1})
		p.Without = "saves"
		list = append(list, result{play: p, Worth: worth - 0.1, OwnCode: 1})
		p.Without = "home"
		list = append(list, result{play: p, Worth: worth + 0.01*float64(seed%2*2-1), OwnCode: 1})
	}
	text := table(list)
	assert.Assert(t, strings.Contains(text, "| saves | +0.100 | +0.100 to +0.100 | yes |"), text)
	assert.Assert(t, strings.Contains(text, "| home | +0.000 | -0.010 to +0.010 | no |"), text)
}
