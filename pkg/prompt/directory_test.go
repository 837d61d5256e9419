package prompt

import (
	"encoding/binary"
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var testStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func testChain(t testing.TB, name string, chunks int) Chain {
	t.Helper()
	return NewChain(Scope{Organisation: "o"}, strings.Repeat(fmt.Sprintf("%-*s", ChunkBytes, name), chunks))
}

func TestObserveFindsLongestCachedPrefix(t *testing.T) {
	d := NewDirectory(1000, testStart)
	c := testChain(t, "a", 40)
	assert.Equal(t, len(d.Observe(c.Marks, testStart).Locations), 0)
	d.AddCached("e1", []Key{c.Marks[2].Key, c.Marks[5].Key}, testStart)
	tail, _ := c.Tail()
	d.AddStored("s1", Object{Key: tail.Key, Chunks: tail.Chunks, Generation: 7}, c.Marks, testStart)
	m := d.Observe(c.Marks, testStart.Add(time.Minute))
	assert.Equal(t, len(m.Locations), 2)
	assert.Equal(t, m.Locations[0].Upstream, "s1")
	assert.Equal(t, m.Locations[0].Chunks, 40)
	assert.Equal(t, m.Locations[1].Chunks, c.Marks[5].Chunks)
	assert.Equal(t, m.Occurrences[0].Since, time.Minute)
	d.RemoveEngine("e1")
	d.RemoveStored("s1", tail.Key)
	assert.Equal(t, len(d.Observe(c.Marks, testStart).Locations), 0)
}

func TestOccurrencesShowWhichPrefixRecurs(t *testing.T) {
	d := NewDirectory(1000, testStart)
	spec := strings.Repeat("s", 32*ChunkBytes)
	for i := range 3 {
		text := spec + strings.Repeat(string(rune('a'+i)), 8*ChunkBytes)
		c := NewChain(Scope{}, text)
		m := d.Observe(c.Marks, testStart.Add(time.Duration(i)*time.Hour))
		if i == 2 {
			assert.Equal(t, m.Occurrences[0].Chunks, 32)
			assert.Equal(t, m.Occurrences[0].Count, 2)
			assert.Equal(t, m.Occurrences[0].Gap, time.Hour)
		}
	}
}

func TestObjectsOfAnEarlierStoreBootAreDropped(t *testing.T) {
	d := NewDirectory(1000, testStart)
	c := testChain(t, "a", 8)
	tail, _ := c.Tail()
	d.AddStored("s1", Object{Key: tail.Key, Chunks: 8, Epoch: 1}, c.Marks, testStart)
	d.RetainStored("s1", func(o Object) bool { return o.Epoch == 2 })
	assert.Equal(t, len(d.Lookup(c.Marks, testStart).Locations), 0)
}

// The directory must agree with a simple map-based model for any order of updates.
func TestDirectoryAgainstModel(t *testing.T) {
	chains := make([]Chain, 4)
	for i := range chains {
		chains[i] = testChain(t, fmt.Sprint("p", i), 6)
	}
	rapid.Check(t, func(t *rapid.T) {
		d := NewDirectory(1000, testStart)
		cached := map[string]map[Key]bool{"e0": {}, "e1": {}, "e2": {}, "e3": {}}
		for range rapid.IntRange(1, 60).Draw(t, "n") {
			c := chains[rapid.IntRange(0, len(chains)-1).Draw(t, "chain")]
			mark := c.Marks[rapid.IntRange(0, len(c.Marks)-1).Draw(t, "mark")]
			engine := fmt.Sprint("e", rapid.IntRange(0, 3).Draw(t, "engine"))
			switch rapid.IntRange(0, 2).Draw(t, "op") {
			case 0:
				d.AddCached(engine, []Key{mark.Key}, testStart)
				cached[engine][mark.Key] = true
			case 1:
				d.RemoveCached(engine, []Key{mark.Key})
				delete(cached[engine], mark.Key)
			case 2:
				d.RemoveEngine(engine)
				clear(cached[engine])
			}
		}
		for _, c := range chains {
			want := map[string]int{}
			for engine, keys := range cached {
				for _, mark := range c.Marks {
					if keys[mark.Key] {
						want[engine] = mark.Chunks
					}
				}
			}
			got := map[string]int{}
			for _, loc := range d.Lookup(c.Marks, testStart).Locations {
				got[loc.Upstream] = loc.Chunks
			}
			assert.DeepEqual(t, got, want)
		}
	})
}

func TestDirectoryStaysWithinCapacity(t *testing.T) {
	d := NewDirectory(100, testStart)
	for i := range 50 {
		d.Observe(testChain(t, fmt.Sprint(i), 10).Marks, testStart.Add(time.Duration(i)*time.Second))
	}
	assert.Equal(t, d.Stats().Marks, 100)
}

func syntheticMarks(i, marks int) []Mark {
	list := make([]Mark, marks)
	for j := range list {
		list[j].Chunks = j + 1
		binary.BigEndian.PutUint64(list[j].Key[:], uint64(i)*0x9E3779B97F4A7C15)
		list[j].Key[15] = byte(j)
	}
	return list
}

const benchMarks = 60

func BenchmarkDirectoryObserve(b *testing.B) {
	for _, prompts := range []int{1_000, 10_000, 100_000} {
		b.Run(fmt.Sprint("prompts=", prompts), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			d := NewDirectory(prompts*benchMarks, testStart)
			for i := range prompts {
				marks := syntheticMarks(i, benchMarks)
				d.Observe(marks, testStart)
				d.AddCached("engine", []Key{marks[30].Key}, testStart)
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			bytes := float64(after.HeapAlloc-before.HeapAlloc) / float64(prompts)
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				d.Observe(syntheticMarks(i%prompts, benchMarks), testStart)
				i++
			}
			b.ReportMetric(bytes, "B/prompt")
		})
	}
}
