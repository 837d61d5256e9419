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
	// maxEntries bounds the addresses in an answer.
	maxEntries = 4
	// headerDataHall is the client's data hall, if it knows it.
	headerDataHall = "Drumpath-Data-Hall"
)

// entriesAnswer lists the addresses that a client should use, best first.
type entriesAnswer struct {
	Entries []entryAddress `json:"entries"`
	// MaxAgeMillis is how long the answer may be cached.
	MaxAgeMillis int64 `json:"max_age_ms"`
}

type entryAddress struct {
	Address  netip.AddrPort `json:"address"`
	DataHall string         `json:"data_hall"`
}

// handleEntries answers with the addresses to use: nodes in the client's data hall
// first, and always the same few for an organisation, so that its prompts return to
// nodes that have seen them. Leaving and drained nodes are omitted.
func (s *Server) handleEntries(c *fasthttp.RequestCtx) {
	state := s.deps.State.State()
	meta, f := parseRequestMeta(c, state, "")
	if f != nil {
		f.write(c)
		return
	}
	dataHall := string(c.QueryArgs().Peek("data_hall"))
	if dataHall == "" {
		dataHall = string(c.Request.Header.Peek(headerDataHall))
	}
	var sameHall, otherHalls []control.Member
	for _, m := range s.deps.Members.Working() {
		switch {
		case state.Nodes[m.Name].Drained:
		case m.DataHall == dataHall:
			sameHall = append(sameHall, m)
		default:
			otherHalls = append(otherHalls, m)
		}
	}
	ownerKey := "entries/" + meta.Organisation.Name
	ordered := control.Owners(sameHall, ownerKey, maxEntries)
	ordered = append(ordered, control.Owners(otherHalls, ownerKey, maxEntries-len(ordered))...)
	answer := entriesAnswer{
		Entries:      []entryAddress{},
		MaxAgeMillis: s.deps.Settings.Entry.MaxAge.Std().Milliseconds(),
	}
	for _, m := range ordered {
		answer.Entries = append(answer.Entries, entryAddress{Address: m.Entry, DataHall: m.DataHall})
	}
	if len(answer.Entries) == 0 {
		refusal(CodeNotReady, noUpstreamRetryAfter, "no node takes new callers").write(c)
		return
	}
	body, err := json.Marshal(answer)
	if err != nil {
		s.deps.Log.Error("entries not encoded", "err", err)
		return
	}
	maxAge := int(math.Floor(s.deps.Settings.Entry.MaxAge.Std().Seconds()))
	c.Response.Header.Set(fasthttp.HeaderCacheControl, fmt.Sprintf("private, max-age=%d", maxAge))
	c.SetStatusCode(http.StatusOK)
	c.SetContentType(jsonType)
	c.SetBody(body)
}
