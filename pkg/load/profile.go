package load

import (
	"encoding/json"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"github.com/tailscale/hujson"

	"github.com/drumpath/drumpath/pkg/config"
)

// Profile describes a load.
type Profile struct {
	Name string `json:"name"`
	Seed uint64 `json:"seed"`
	// Rate is the mean number of requests a second; arrivals don't wait for
	// answers.
	Rate     float64         `json:"rate"`
	Duration config.Duration `json:"duration"`
	// Warm is how much of the beginning is not counted.
	Warm      config.Duration `json:"warm"`
	Model     string          `json:"model"`
	MaxTokens int             `json:"max_tokens"`
	// Deadline counts for goodput; with SendDeadline it is also told to the
	// system.
	Deadline      config.Duration `json:"deadline"`
	SendDeadline  bool            `json:"send_deadline"`
	Organisations []Organisation  `json:"organisations"`
	// Prompts is how many long texts return, SharedBytes how long each is, and
	// OwnBytes how long the part is that each request has for itself.
	Prompts     int `json:"prompts"`
	SharedBytes int `json:"shared_bytes"`
	OwnBytes    int `json:"own_bytes"`
	// HotShare of the requests are for one single prompt.
	HotShare float64 `json:"hot_share"`
	Burst    *Burst  `json:"burst"`
}

// Organisation is one caller of a load.
type Organisation struct {
	Name   string  `json:"name"`
	Key    string  `json:"key"`
	Weight float64 `json:"weight"` // Of its share of the requests.
}

// Burst is a time of a higher rate.
type Burst struct {
	At     config.Duration `json:"at"`
	Length config.Duration `json:"length"`
	Factor float64         `json:"factor"`
}

// ReadProfile reads a profile, JSON with comments.
func ReadProfile(path string) (p Profile, err error) {
	defer func() { err = eris.Wrapf(err, "profile %s", path) }()
	text, err := os.ReadFile(path)
	if err != nil {
		return p, err
	}
	text, err = hujson.Standardize(text)
	if err != nil {
		return p, err
	}
	if err := json.Unmarshal(text, &p); err != nil {
		return p, err
	}
	return p, p.validate()
}

func (p *Profile) validate() error {
	switch {
	case p.Rate <= 0:
		return eris.New("rate: more than 0 is wanted")
	case p.Duration <= p.Warm:
		return eris.New("duration: more than warm is wanted")
	case p.Model == "" || p.MaxTokens < 1:
		return eris.New("model and max_tokens are wanted")
	case len(p.Organisations) == 0:
		return eris.New("organisations: at least one is wanted")
	case p.Prompts < 1 || p.SharedBytes < 1:
		return eris.New("prompts and shared_bytes: at least 1 is wanted")
	}
	return nil
}

// arrival is one request of a load.
type arrival struct {
	at           time.Duration
	organisation *Organisation
	prompt       int
	seq          int
}

// schedule lays out all arrivals; the same profile gives the same ones.
func (p *Profile) schedule() []arrival {
	rng := rand.New(rand.NewPCG(p.Seed, 0))
	total := 0.0
	for _, o := range p.Organisations {
		total += o.Weight
	}
	var list []arrival
	for at := time.Duration(0); ; {
		rate := p.Rate
		if b := p.Burst; b != nil && at >= b.At.Std() && at < b.At.Std()+b.Length.Std() {
			rate *= b.Factor
		}
		at += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
		if at >= p.Duration.Std() {
			return list
		}
		a := arrival{at: at, seq: len(list), prompt: 1 + rng.IntN(p.Prompts)}
		if rng.Float64() < p.HotShare {
			a.prompt = 0
		}
		pick := rng.Float64() * total
		// A prompt belongs to one organisation, so that it can return.
		if a.prompt > 0 {
			pick = rand.New(rand.NewPCG(p.Seed, uint64(a.prompt))).Float64() * total
		}
		for i := range p.Organisations {
			a.organisation = &p.Organisations[i]
			if pick -= a.organisation.Weight; pick < 0 {
				break
			}
		}
		if a.prompt == 0 {
			a.organisation = &p.Organisations[0]
		}
		list = append(list, a)
	}
}

// promptText is the prompt of an arrival: the part that returns, then its own.
func (p *Profile) promptText(a arrival) string {
	var b strings.Builder
	b.Grow(p.SharedBytes + p.OwnBytes)
	appendWords(&b, p.Seed, uint64(a.prompt), p.SharedBytes)
	appendWords(&b, p.Seed+1, uint64(a.seq), p.SharedBytes+p.OwnBytes)
	return b.String()
}

// appendWords fills up to a length with words that a seed gives.
func appendWords(b *strings.Builder, seed, stream uint64, length int) {
	rng := rand.New(rand.NewPCG(seed, stream))
	for b.Len() < length {
		w := strconv.FormatUint(rng.Uint64(), 36) + " "
		b.WriteString(w[:min(len(w), length-b.Len())])
	}
}
