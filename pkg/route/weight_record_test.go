package route

import (
	"encoding/json"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// recordedHistory is a history of two versions, named 5 s and 2 s ago.
func recordedHistory(now time.Time) map[string]WeightHistory {
	return map[string]WeightHistory{"m": {
		{Version: 2, Since: now.Add(-5 * time.Second), Heard: now}, {Version: 3, Since: now.Add(-2 * time.Second), Heard: now},
	}}
}

// The clocks of the node that writes the record and of one that reads it later have nothing to do with each other.
func TestRecordTellsAgesToAnotherClock(t *testing.T) {
	writer := time.Now()
	record, changed := (&WeightRecord{}).Next(recordedHistory(writer), StoreTime{Era: 1, Reading: time.Second, Before: writer, After: writer})
	assert.Assert(t, changed)
	text, err := json.Marshal(record)
	assert.NilError(t, err)
	var read WeightRecord
	assert.NilError(t, json.Unmarshal(text, &read))
	reader := writer.Add(-time.Hour)
	h := read.Histories(StoreTime{Era: 1, Reading: 4 * time.Second, Before: reader, After: reader.Add(100 * time.Millisecond)})["m"]
	assert.Equal(t, h.ReplacedAt(1), reader.Add(-8*time.Second))
	assert.Equal(t, h.ReplacedAt(2), reader.Add(-5*time.Second))
}

// A store that came back from a copy may have another clock.
func TestRecordOfAnotherEraTellsNothing(t *testing.T) {
	now := time.Now()
	record, _ := (&WeightRecord{}).Next(recordedHistory(now), StoreTime{Era: 1, Before: now, After: now})
	at := StoreTime{Era: 2, Before: now, After: now}
	assert.Equal(t, len(record.Histories(at)), 0)
	assert.Equal(t, len(record.News(nil, at)), 0)
	next, changed := record.Next(recordedHistory(now), at)
	assert.Assert(t, changed)
	assert.Equal(t, len(next.Histories(at)["m"]), 2)
}

func TestRecordIsWrittenOnlyIfItLacksSomething(t *testing.T) {
	now := time.Now()
	at := StoreTime{Era: 1, Reading: time.Minute, Before: now, After: now}
	record, _ := (&WeightRecord{}).Next(recordedHistory(now), at)
	_, changed := record.Next(recordedHistory(now), at)
	assert.Assert(t, !changed)
	later := recordedHistory(now)
	later["m"][1].Since = now
	_, changed = record.Next(later, at)
	assert.Assert(t, !changed, "the older age holds")
	next, changed := record.Next(map[string]WeightHistory{"other": recordedHistory(now)["m"]}, at)
	assert.Assert(t, changed)
	assert.Equal(t, len(next.Models), 1, "models that are no longer known are left out")
}

// A store clock that had gone back made recorded weights new again.
func TestRecordFromTheFutureTellsNothing(t *testing.T) {
	now := time.Now()
	record, _ := (&WeightRecord{}).Next(recordedHistory(now), StoreTime{Era: 1, Reading: time.Hour, Before: now, After: now})
	at := StoreTime{Era: 1, Reading: time.Minute, Before: now, After: now}
	assert.Equal(t, len(record.News(nil, at)["m"]), 0)
	next, changed := record.Next(recordedHistory(now), at)
	assert.Assert(t, changed)
	assert.Equal(t, len(next.News(nil, at)["m"]), 2)
}
