package gateway

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/drumpath/drumpath/pkg/boottime"
	"github.com/drumpath/drumpath/pkg/origin"
	"github.com/drumpath/drumpath/pkg/route"
	"github.com/drumpath/drumpath/service/origins"
)

// streamCounts counts streams that go on after some of their events were passed on, for metrics.
type streamCounts struct {
	wentOn          atomic.Int64 // At another replica, within one answer.
	notRest         atomic.Int64 // Answers to a resumption that were not the rest.
	takenUp         atomic.Int64 // By another attempt of the client.
	otherSoftware   atomic.Int64 // Of both, those known to have begun at another version of the software.
	unknownSoftware atomic.Int64 // Of both, those whose version is not known.
}

// streamStatus is the exported form.
type streamStatus struct {
	WentOn          int64 `json:"went_on"`
	NotRest         int64 `json:"not_rest"`
	TakenUp         int64 `json:"taken_up"`
	OtherSoftware   int64 `json:"other_software"`
	UnknownSoftware int64 `json:"unknown_software"`
}

func (c *streamCounts) status() streamStatus {
	return streamStatus{
		WentOn:          c.wentOn.Load(),
		NotRest:         c.notRest.Load(),
		TakenUp:         c.takenUp.Load(),
		OtherSoftware:   c.otherSoftware.Load(),
		UnknownSoftware: c.unknownSoftware.Load(),
	}
}

// originFleet tells origins of the replicas.
type originFleet struct {
	siteState *SiteState
	nodes     *nodes
}

// Services lists the services that get requests of resumable streams.
func (f originFleet) Services() (list []string) {
	snapshot := f.siteState.Snapshot()
	if snapshot == nil {
		return nil
	}
	return snapshot.ResumableServices()
}

// SharesRoutes reports whether some of the routes to a service send streams to others as well.
func (f originFleet) SharesRoutes(service string) bool {
	snapshot := f.siteState.Snapshot()
	return snapshot != nil && slices.Contains(snapshot.SplitServices(), service)
}

// Software lists the versions that the replicas of a service have.
func (f originFleet) Software(service string) []string {
	p := f.siteState.Pool(service)
	if p == nil {
		return nil
	}
	return p.Software()
}

// FirstStart reports whether this node had no earlier process.
func (f originFleet) FirstStart() bool { return f.nodes.firstStart.Load() }

// StoreSilent reports whether the store was not reached lately.
func (f originFleet) StoreSilent(now time.Time) bool {
	_, sinceSync, sinceUnreachable := f.siteState.Ages(now)
	return sinceSync > maxListAge || sinceUnreachable > 0 && sinceUnreachable < unreachableGrace
}

const (
	// maxListAge is the age of the upstream list from which on the store counts as silent.
	maxListAge = 3 * time.Second
	// unreachableGrace is for how long after a failed read of the list it does.
	unreachableGrace = 4 * time.Second
)

// findOrigin finds out where the stream began that the client takes up; ok is false if the request is
// refused.
func (x *exchange) findOrigin(ctx context.Context) (f refusal, ok bool) {
	if x.info.LastEvent == "" || !x.route.Resumable {
		return refusal{}, true
	}
	query := origins.Query{Service: x.route.OnlyService()}
	if x.info.BegunBy != "" {
		named := x.attemptKey(x.info.BegunBy)
		query.Named = &named
	}
	began := boottime.Now()
	answer := x.g.origins.Resolve(ctx, query)
	x.g.log.Info("stream taken up", "request", x.info.ID, "route", x.route.Name, "begun_by", x.info.BegunBy, "last_event", x.info.LastEvent,
		"verdict", string(answer.Verdict), "service", answer.Service, "begun_at", answer.Software, "known_by", answer.KnownBy,
		"age_ms", answer.Age.Milliseconds(), "found_after", boottime.Since(began))
	switch {
	case ctx.Err() != nil:
		return x.deadlineRefusal(), false
	case answer.Verdict == origin.Unreachable:
		return retryLater(reasonStreamUnreachable, startRetryAfter), false
	case answer.Verdict != origin.GoesOn:
		return refuse(http.StatusPreconditionFailed, reasonStreamUnknown), false
	case !x.route.SendsTo(answer.Service):
		return refuse(http.StatusPreconditionFailed, reasonStreamGone), false
	}
	x.begun = &answer
	return refusal{}, true
}

// attemptKey returns the key of an attempt of the same client for the same request.
func (x *exchange) attemptKey(attempt string) origin.Key {
	organisation := ""
	if x.organisation != nil {
		organisation = x.organisation.Name
	}
	return origin.KeyOf(organisation, x.head.Get("Host"), x.head.Target, attempt)
}

// serviceName returns the service that the request is sent to.
func (x *exchange) serviceName() string {
	if x.begun != nil {
		return x.begun.Service
	}
	return x.route.ServiceByHash(xxhash.Sum64String(x.info.ID))
}

// pinToOrigin restricts the request to the version that began its stream; ok is false if no replica of it is
// left, or a roll-out has ended its use.
func (x *exchange) pinToOrigin() (f refusal, ok bool) {
	software := x.begun.Software
	if !x.pool.RunsSoftware(software) || !x.g.canaries.mayGoOn(x.service.Name, software, boottime.Now()) {
		return refuse(http.StatusPreconditionFailed, reasonStreamGone), false
	}
	x.pickInput.Software = route.SoftwareRule{Version: software, Pinned: true}
	return refusal{}, true
}

// softwareRule returns on which versions of the software the request may run: once its stream has begun,
// only on the one that wrote the events.
func (x *exchange) softwareRule(now time.Time) route.SoftwareRule {
	if x.pickInput.Software.Pinned {
		return x.pickInput.Software
	}
	return x.g.canaries.rule(x.service.Name, x.info.ID, x.pool, now)
}

// pickListed picks a replica. A stream that clients may take up again begins only at a version that is
// listed in the store, so that all nodes can know of it.
func (x *exchange) pickListed(ctx context.Context) (c route.Choice, ok bool) {
	unlisted := &x.pickInput.UnlistedSoftware
	*unlisted = nil
	for {
		c, ok = x.pick(boottime.Now())
		if !ok || !x.route.Resumable || x.pickInput.Software.Pinned || x.g.origins.MayBegin(x.service.Name, c.Software) {
			break
		}
		*unlisted = append(*unlisted, c.Software)
	}
	if ok || len(*unlisted) == 0 || !x.g.origins.AwaitVersion(ctx, x.service.Name, *unlisted) {
		return c, ok
	}
	*unlisted = slices.DeleteFunc(*unlisted, func(software string) bool {
		return x.g.origins.MayBegin(x.service.Name, software)
	})
	return x.pick(boottime.Now())
}

// recordEventsOf records that the first events of an attempt are about to be passed on.
func (x *exchange) recordEventsOf(a *attempt) {
	begunAt := x.pickInput.Software
	if x.route.Resumable {
		x.recordOrigin(a)
	}
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

// errSoftwareChanged ends attempts at a replica that was started again under its ID with another version.
var errSoftwareChanged = errors.New("the replica has another version of its software by now")

// softwareChanged reports whether a replica is listed with another version of its software than when it was picked.
func (x *exchange) softwareChanged(a *attempt) bool {
	u, listed := x.pool.Upstream(a.choice.ID)
	return listed && u.Software != a.choice.Software
}

// recordOrigin records where the stream began that an attempt of the client brings events of.
func (x *exchange) recordOrigin(a *attempt) {
	if x.stream != nil {
		return // It goes on within one answer.
	}
	until := x.receivedAt.Add(x.info.ClientTimeout)
	if x.info.ClientTimeout == 0 {
		until = x.receivedAt.Add(origin.MaxLifetime)
	}
	begun := origin.Origin{Service: x.service.Name, Software: a.choice.Software}
	x.g.origins.Begin(x.attemptKey(x.info.ID), begun, a.choice.ID, until)
	if x.info.LastEvent != "" && x.info.BegunBy != "" {
		x.g.origins.Begin(x.attemptKey(x.info.BegunBy), begun, a.choice.ID, until)
	}
}
