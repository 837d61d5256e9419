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
	// Rate is the mean number of requests per second. Requests don't wait for
	// earlier answers.
	Rate     float64         `json:"rate"`
	Duration config.Duration `json:"duration"`
	// Warm is the length of the warm-up, whose requests are not counted.
	Warm      config.Duration `json:"warm"`
	Model     string          `json:"model"`
	MaxTokens int             `json:"max_tokens"`
	// Deadline is the time within which the first token must arrive to count as
	// goodput. With SendDeadline it is also sent to the system.
	Deadline      config.Duration `json:"deadline"`
	SendDeadline  bool            `json:"send_deadline"`
	Organisations []Organisation  `json:"organisations"`
	// Prompts is the number of recurring prompts, SharedBytes the length of each,
	// and OwnBytes the length of the unique suffix of each request.
	Prompts     int `json:"prompts"`
	SharedBytes int `json:"shared_bytes"`
	OwnBytes    int `json:"own_bytes"`
	// HotShare is the share of the requests that use one and the same prompt.
	HotShare float64 `json:"hot_share"`
	Burst    *Burst  `json:"burst"`
}

// Organisation is one of the customers that send the requests.
type Organisation struct {
	Name   string  `json:"name"`
	Key    string  `json:"key"`
	Weight float64 `json:"weight"` // Share of the requests, relative to the others.
}

// Burst is a period with a higher rate.
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
		return eris.New("rate must be greater than 0")
	case p.Duration <= p.Warm:
		return eris.New("duration must be greater than warm")
	case p.Model == "" || p.MaxTokens < 1:
		return eris.New("model and max_tokens are required")
	case len(p.Organisations) == 0:
		return eris.New("organisations must not be empty")
	case p.Prompts < 1 || p.SharedBytes < 1:
		return eris.New("prompts and shared_bytes must be at least 1")
	}
	return nil
}

// arrival is one scheduled request.
type arrival struct {
	at           time.Duration
	organisation *Organisation
	prompt       int
	seq          int
}

// schedule returns all requests of the profile; it is deterministic.
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
		// A prompt always belongs to the same organisation, so that it recurs within
		// one scope.
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

// promptText returns the prompt of a request: the recurring part, then the unique
// suffix.
func (p *Profile) promptText(a arrival) string {
	var b strings.Builder
	b.Grow(p.SharedBytes + p.OwnBytes)
	appendWords(&b, p.Seed, uint64(a.prompt), p.SharedBytes)
	appendWords(&b, p.Seed+1, uint64(a.seq), p.SharedBytes+p.OwnBytes)
	return b.String()
}

// appendWords fills b up to a length with pseudo-random words.
func appendWords(b *strings.Builder, seed, stream uint64, length int) {
	rng := rand.New(rand.NewPCG(seed, stream))
	for b.Len() < length {
		w := strconv.FormatUint(rng.Uint64(), 36) + " "
		b.WriteString(w[:min(len(w), length-b.Len())])
	}
}
