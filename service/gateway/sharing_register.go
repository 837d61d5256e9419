package gateway

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/rotisserie/eris"

	"github.com/drumpath/drumpath/pkg/boottime"
	"github.com/drumpath/drumpath/pkg/control"
	"github.com/drumpath/drumpath/pkg/locks"
	"github.com/drumpath/drumpath/pkg/route"
	"github.com/drumpath/drumpath/pkg/site"
)

const (
	// sharingRecordKey is the key of the only row of site.TableSharing.
	sharingRecordKey = "period"
	// sharingRegisterInterval is how often it is checked whether the record is to be read or written.
	sharingRegisterInterval = 50 * time.Millisecond
	// sharingRecorders is how many nodes see to it that a configuration is recorded, the first at once and each further
	// one sharingRecorderDelay later. The other nodes are told meanwhile.
	sharingRecorders     = 3
	sharingRecorderDelay = 250 * time.Millisecond
	// sharingReadSpread times the number of nodes is the time over which the others read the record if they have not been
	// told.
	sharingReadSpread = 2 * time.Millisecond
	// sharingWriteDelay is after what time any node writes the record: those that should may not reach the store.
	sharingWriteDelay = 2 * time.Second
	// sharingRecordTimeout limits a call, and minSharingRecordRetry and maxSharingRecordRetry bound the pause after one
	// that failed.
	sharingRecordTimeout  = time.Second
	minSharingRecordRetry = 100 * time.Millisecond
	maxSharingRecordRetry = 2 * time.Second
	// sharingRecordDuty is the duty of writing the record.
	sharingRecordDuty = "sharing-record"
)

// errSharingNotRecorded means that the record is of an earlier configuration, and is left to other nodes to write.
var errSharingNotRecorded = errors.New("the configuration is not recorded yet")

// sharingRegister keeps a record in the platform's store of the period in which organisations share KV cache. One node
// writes it for each configuration and tells the others.
type sharingRegister struct {
	self      control.Member
	members   *control.Members
	row       recordRow[route.SharingRecord]
	siteState *SiteState
	log       *slog.Logger
	// now returns the time including all suspensions of the machine.
	now func() time.Time

	mu locks.Mutex
	// config is the configuration that the rest is of.
	config  int64
	heardAt time.Time
	calls   callBackoff
}

func newSharingRegister(self control.Member, members *control.Members, store Store, st *SiteState, log *slog.Logger) *sharingRegister {
	return &sharingRegister{
		self: self, members: members, siteState: st, log: log, now: boottime.RefreshNow,
		row:   recordRow[route.SharingRecord]{store: store, table: site.TableSharing, key: sharingRecordKey},
		calls: callBackoff{least: minSharingRecordRetry, most: maxSharingRecordRetry},
	}
}

// step reads or writes the record if the period of the configuration in force is not known. The timer service calls it.
func (r *sharingRegister) step(ctx context.Context) {
	s := r.siteState.Snapshot()
	if s == nil || !s.RequireKey || !s.HasEngines() {
		return
	}
	if _, known := r.siteState.sharingHistory().Find(s.Version); known {
		return
	}
	write, due := r.due(s.Version)
	if !due {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, sharingRecordTimeout)
	defer cancel()
	err := r.sync(ctx, s, write)
	r.mu.Lock()
	defer r.mu.Unlock()
	if err == nil { // The period is known, or a newer configuration is recorded, which this node will learn soon.
		r.calls.reset(r.now().Add(maxSharingRecordRetry))
		return
	}
	r.calls.recordFailure(r.now())
	if !errors.Is(err, site.ErrConflict) && !errors.Is(err, site.ErrEraEnded) && !errors.Is(err, errSharingNotRecorded) {
		r.log.Warn("record of shared cache not synced", "write", write, "err", err)
	}
}

// due reports whether the record is to be read now, and whether it is to be written if it lacks a configuration.
func (r *sharingRegister) due(config int64) (write, due bool) {
	now := r.now()
	working := r.members.Working()
	rank := control.Rank(working, sharingRecordDuty, r.self.Name)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.config != config {
		r.config, r.heardAt = config, now
		delay := time.Duration(min(rank, sharingRecorders)) * sharingRecorderDelay
		if rank >= sharingRecorders {
			delay += rand.N(time.Duration(len(working)) * sharingReadSpread)
		}
		r.calls.reset(now.Add(delay))
	}
	return rank < sharingRecorders || now.Sub(r.heardAt) >= sharingWriteDelay, !now.Before(r.calls.next)
}

// sync reads the record, and writes it if it is of an earlier configuration and write is set.
func (r *sharingRegister) sync(ctx context.Context, s *site.Snapshot, write bool) (err error) {
	defer func() { err = eris.Wrap(err, "record of shared cache") }()
	record, err := r.row.read(ctx)
	if err != nil {
		return err
	}
	if record.decodeErr != nil {
		r.log.Error("record of shared cache can't be decoded, replaced by the next one", "position", record.position, "err", record.decodeErr)
	}
	next, changed := record.value.Next(s, record.listing.Position.Era)
	if !changed {
		r.siteState.LearnSharing(record.value.Sharing, sharingStored, r.now())
		return nil
	}
	if !write {
		return errSharingNotRecorded
	}
	position, err := r.row.replace(ctx, record, next)
	if err != nil {
		return err
	}
	r.log.Info("shared cache recorded", "version", s.Version, "period", next.Period.String(), "before", record.value.Period.String(), "position", position)
	r.siteState.LearnSharing(next.Sharing, sharingStored, r.now())
	return nil
}
