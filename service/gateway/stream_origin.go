package gateway

import (
	"sync/atomic"
	"time"

	"github.com/drumpath/drumpath/pkg/route"
)

// streamCounts counts streams that go on after some of their events were passed on, for metrics.
type streamCounts struct {
	wentOn          atomic.Int64 // At another replica, within one answer.
	takenUp         atomic.Int64 // By another attempt of the client.
	otherSoftware   atomic.Int64 // Of both, those known to have begun at another version of the software.
	unknownSoftware atomic.Int64 // Of both, those whose version is not known.
}

// streamStatus is the exported form.
type streamStatus struct {
	WentOn          int64 `json:"went_on"`
	TakenUp         int64 `json:"taken_up"`
	OtherSoftware   int64 `json:"other_software"`
	UnknownSoftware int64 `json:"unknown_software"`
}

func (c *streamCounts) status() streamStatus {
	return streamStatus{
		WentOn:          c.wentOn.Load(),
		TakenUp:         c.takenUp.Load(),
		OtherSoftware:   c.otherSoftware.Load(),
		UnknownSoftware: c.unknownSoftware.Load(),
	}
}

// softwareRule returns on which versions of the software the request may run: once events were
// passed on, only on the one that wrote them.
func (x *exchange) softwareRule(now time.Time) route.SoftwareRule {
	if x.pickInput.Software.Pinned {
		return x.pickInput.Software
	}
	return x.g.canaries.rule(x.service.Name, x.info.ID, x.pool, now)
}

// recordEventsOf records that the first events of an attempt are about to be passed on.
func (x *exchange) recordEventsOf(a *attempt) {
	begunAt := x.pickInput.Software
	x.pickInput.Software = route.SoftwareRule{Version: a.choice.Software, Pinned: true}
	if x.info.LastEvent == "" && x.stream == nil {
		if x.route.Resumable && x.pool.HasOtherSoftware(a.choice.Software) {
			x.g.log.Info("stream begun", "request", x.info.ID, "route", x.route.Name, "replica", a.choice.ID,
				"service", x.service.Name, "software", a.choice.Software)
		}
		return
	}
	counts := &x.g.metrics.streams
	lastEvent, begunBy := x.info.LastEvent, x.info.BegunBy
	if x.stream != nil {
		lastEvent, begunBy = x.stream.lastID, ""
		counts.wentOn.Add(1)
	} else {
		counts.takenUp.Add(1)
	}
	switch {
	case !begunAt.Pinned:
		counts.unknownSoftware.Add(1)
		begunAt.Version = ""
	case begunAt.Version != a.choice.Software:
		counts.otherSoftware.Add(1)
	}
	x.g.log.Info("stream goes on", "request", x.info.ID, "route", x.route.Name, "replica", a.choice.ID, "service", x.service.Name,
		"software", a.choice.Software, "begun_by", begunBy, "begun_at", begunAt.Version, "last_event", lastEvent)
}
