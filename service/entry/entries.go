package entry

import (
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"net/netip"

	"github.com/valyala/fasthttp"

	"github.com/drumpath/drumpath/pkg/control"
)

const (
	// entriesGiven is how many addresses an answer has at most.
	entriesGiven = 4
	// headerDataHall is the caller's data hall, if it knows one.
	headerDataHall = "Drumpath-Data-Hall"
)

// entriesAnswer says which addresses a caller should use, best first.
type entriesAnswer struct {
	Entries []entryAddress `json:"entries"`
	// MaxAgeMillis is how long the answer may be kept.
	MaxAgeMillis int64 `json:"max_age_ms"`
}

type entryAddress struct {
	Address  netip.AddrPort `json:"address"`
	DataHall string         `json:"data_hall"`
}

// entries answers which addresses to use: those of the caller's data hall
// first, and among them the same few for an organisation each time, so that
// its prompts come back to nodes that have seen them. Leaving and drained nodes
// are absent.
func (s *Server) entries(c *fasthttp.RequestCtx) {
	state := s.parts.State.State()
	terms, f := parseTerms(c, state, "")
	if f != nil {
		f.write(c)
		return
	}
	hall := string(c.QueryArgs().Peek("data_hall"))
	if hall == "" {
		hall = string(c.Request.Header.Peek(headerDataHall))
	}
	var near, far []control.Member
	for _, m := range s.parts.Members.Working() {
		switch {
		case state.Nodes[m.Name].Drained:
		case m.DataHall == hall:
			near = append(near, m)
		default:
			far = append(far, m)
		}
	}
	duty := "entries/" + terms.Organisation.Name
	ordered := control.Owners(near, duty, entriesGiven)
	ordered = append(ordered, control.Owners(far, duty, entriesGiven-len(ordered))...)
	answer := entriesAnswer{
		Entries:      []entryAddress{},
		MaxAgeMillis: s.parts.Settings.Entry.MaxAge.Std().Milliseconds(),
	}
	for _, m := range ordered {
		answer.Entries = append(answer.Entries, entryAddress{Address: m.Entry, DataHall: m.DataHall})
	}
	if len(answer.Entries) == 0 {
		refusal(CodeNotReady, noUpstreamRetry, "no node takes new callers").write(c)
		return
	}
	body, err := json.Marshal(answer)
	if err != nil {
		s.parts.Log.Error("entries not encoded", "err", err)
		return
	}
	maxAge := int(math.Floor(s.parts.Settings.Entry.MaxAge.Std().Seconds()))
	c.Response.Header.Set(fasthttp.HeaderCacheControl, fmt.Sprintf("private, max-age=%d", maxAge))
	c.SetStatusCode(http.StatusOK)
	c.SetContentType(jsonType)
	c.SetBody(body)
}
