package gateway

import (
	"context"
	"errors"
	"log/slog"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/drumpath/drumpath/pkg/boottime"
	"github.com/drumpath/drumpath/pkg/control"
	"github.com/drumpath/drumpath/pkg/history"
	"github.com/drumpath/drumpath/pkg/locks"
	"github.com/drumpath/drumpath/pkg/route"
	"github.com/drumpath/drumpath/pkg/site"
)

const (
	// weightRecordKey is the key of the only row of site.TableWeights.
	weightRecordKey = "named"
	// weightRegisterInterval is how often it is checked whether the record is to be read or written.
	weightRegisterInterval = 100 * time.Millisecond
	// weightRecorders is how many nodes see to it that a version is recorded, the first at once and each further one
	// weightRecorderDelay later.
	weightRecorders     = 3
	weightRecorderDelay = time.Second
	// weightReadDelay is how much later than these the other nodes read the record, if they have not been told.
	weightReadDelay = 500 * time.Millisecond
	// weightRecordTimeout limits a call, and minWeightRecordRetry and maxWeightRecordRetry bound the pause after one
	// that failed.
	weightRecordTimeout  = 2 * time.Second
	minWeightRecordRetry = 200 * time.Millisecond
	maxWeightRecordRetry = 5 * time.Second
	// weightRecordDuty is the duty of writing the record.
	weightRecordDuty = "weights-record"
)

// weightRegister keeps a record in the platform's store of when versions of models' weights were named. One node writes
// it, and nodes read it that could learn from no other node how old a version is.
type weightRegister struct {
	self      control.Member
	members   *control.Members
	eras      *history.Eras
	row       recordRow[route.WeightRecord]
	siteState *SiteState
	log       *slog.Logger
	// now returns the time including all suspensions of the machine.
	now func() time.Time

	mu locks.Mutex
	// settled are the versions that the record has in the current era of the store, as this node knows them.
	settled map[string]route.WeightHistory
	era     history.Era
	// readFor has the newest version of each model for which the record was read, as its age was not known.
	readFor map[string]int64
	calls   callBackoff
}

func newWeightRegister(self control.Member, members *control.Members, store Store, st *SiteState, log *slog.Logger) *weightRegister {
	return &weightRegister{
		self: self, members: members, eras: store.Eras(), siteState: st, log: log, now: boottime.RefreshNow,
		row:     recordRow[route.WeightRecord]{store: store, table: site.TableWeights, key: weightRecordKey},
		settled: map[string]route.WeightHistory{}, readFor: map[string]int64{},
		calls: callBackoff{least: minWeightRecordRetry, most: maxWeightRecordRetry},
	}
}

// step reads or writes the record if that is due. The timer service calls it.
func (r *weightRegister) step(ctx context.Context) {
	now := r.now()
	read, write := r.due(now)
	if !read && !write {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, weightRecordTimeout)
	defer cancel()
	err := r.sync(ctx, write)
	r.mu.Lock()
	defer r.mu.Unlock()
	if err == nil {
		r.calls.reset(r.calls.next)
		return
	}
	r.calls.recordFailure(r.now())
	if !errors.Is(err, site.ErrConflict) && !errors.Is(err, site.ErrEraEnded) {
		r.log.Warn("record of weights not synced", "write", write, "err", err)
	}
}

// due reports whether the record is to be read because the age of some weights is not known, and whether it is to be written
// by this node.
func (r *weightRegister) due(now time.Time) (read, write bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if era, _, _ := r.eras.Current(); era != r.era {
		r.era = era
		r.settled = nil // Not cleared: the map is the one that SiteState has published.
		clear(r.readFor)
	}
	if now.Before(r.calls.next) {
		return false, false
	}
	rank := -1
	for model, h := range r.siteState.allWeights() {
		newest := h.Newest()
		if newest.Version <= firstWeights || slices.Equal(r.settled[model], h) {
			continue
		}
		if rank < 0 {
			rank = control.Rank(r.members.Working(), weightRecordDuty, r.self.Name)
		}
		read = read || r.readFor[model] < newest.Version && r.readDue(newest, rank, now)
		write = write || rank < weightRecorders && now.Sub(newest.Heard) >= recordDelay(newest, rank)
	}
	return read, write
}

// readDue reports whether a node of a rank reads the record now, as it only has an estimate for a version. The first by rank read
// it at once and tell the others. Once the estimated term is over, old weights are not used any more.
func (r *weightRegister) readDue(v route.WeightVersion, rank int, now time.Time) bool {
	if !v.Estimated || rank >= weightRecorders && now.Sub(v.Heard) < weightReadDelay {
		return false
	}
	return now.Sub(v.Since) < r.siteState.weightsTerm
}

// recordDelay returns how long after it has heard of a version the node of a rank sees to it that it is recorded. A node
// that heard late may have just started, and know too few others to rank itself.
func recordDelay(v route.WeightVersion, rank int) time.Duration {
	delay := time.Duration(rank) * weightRecorderDelay
	if v.Estimated || v.Heard.Sub(v.Since) > maxChangeDelay {
		delay += weightRecorderDelay
	}
	return delay
}

// sync reads the record, takes in what it tells, and writes what it lacks if write is set.
func (r *weightRegister) sync(ctx context.Context, write bool) (err error) {
	defer func() { err = eris.Wrap(err, "record of weights") }()
	askedAt := r.now()
	record, err := r.row.read(ctx)
	if err != nil {
		return err
	}
	if record.decodeErr != nil {
		r.log.Error("record of weights can't be decoded, replaced by the next one", "position", record.position, "err", record.decodeErr)
	}
	era := record.listing.Position.Era
	at := route.StoreTime{Era: era, Reading: record.listing.Now, Before: askedAt, After: r.now()}
	for model, list := range record.value.News(r.siteState.allWeights(), at) {
		for _, v := range list {
			r.siteState.LearnWeights(model, v, weightsStored)
		}
	}
	known := r.siteState.allWeights()
	r.recordRead(known)
	next, changed := record.value.Next(known, at)
	if !write || !changed {
		r.recordSettled(known, era, !changed)
		return nil
	}
	position, err := r.row.replace(ctx, record, next)
	if err != nil {
		return err
	}
	r.log.Info("weights recorded", "models", len(next.Models), "position", position)
	r.recordSettled(known, era, true)
	return nil
}

// recordRead records that nothing more is to be learned from the record of these versions.
func (r *weightRegister) recordRead(known map[string]route.WeightHistory) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for model, h := range known {
		r.readFor[model] = h.Newest().Version
	}
}

// recordSettled records that the record has these versions, if it does.
func (r *weightRegister) recordSettled(known map[string]route.WeightHistory, era history.Era, has bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if has && era == r.era {
		r.settled = known
	}
}
