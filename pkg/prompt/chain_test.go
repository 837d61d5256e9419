package prompt

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func drawScope(t *rapid.T, name string) Scope {
	// Few letters and an empty string, so that neighbouring fields often
	// concatenate to the same text.
	part := rapid.SampledFrom([]string{"", "a", "ab", "b", "\x00", "a\x00b"})
	return Scope{
		Organisation: part.Draw(t, name+"org"),
		Model:        part.Draw(t, name+"model"),
		Weights:      part.Draw(t, name+"weights"),
		Adapter:      part.Draw(t, name+"adapter"),
		Reuse:        part.Draw(t, name+"reuse"),
	}
}

// drawSimilarScope draws a scope that differs from s in at most one field, or only
// in where one field ends and the next begins.
func drawSimilarScope(t *rapid.T, s Scope) Scope {
	parts := []*string{&s.Organisation, &s.Model, &s.Weights, &s.Adapter, &s.Reuse}
	i := rapid.IntRange(0, len(parts)-1).Draw(t, "part")
	switch rapid.IntRange(0, 2).Draw(t, "change") {
	case 0:
		*parts[i] += "x"
	case 1:
		if next := (i + 1) % len(parts); next > i && *parts[i] != "" {
			last := len(*parts[i]) - 1
			*parts[next] = (*parts[i])[last:] + *parts[next]
			*parts[i] = (*parts[i])[:last]
		}
	}
	return s
}

// Two chains share a key exactly if their scopes and the text up to it are equal.
func TestChainsShareKeysOnlyWithinScope(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s1 := drawScope(t, "1")
		s2 := drawSimilarScope(t, s1)
		chunk := rapid.SampledFrom([]string{strings.Repeat("x", ChunkBytes), strings.Repeat("y", ChunkBytes)})
		chunks := rapid.SliceOfN(chunk, 1, 40)
		t1 := chunks.Draw(t, "t1")
		// Mostly a shared prefix, so that keys are equal if the roots are.
		t2 := append(t1[:rapid.IntRange(0, len(t1)).Draw(t, "shared"):len(t1)], chunks.Draw(t, "t2")...)
		c1 := NewChain(s1, strings.Join(t1, ""))
		c2 := NewChain(s2, strings.Join(t2, ""))
		byKey := map[Key]int{}
		for _, m := range c1.Marks {
			byKey[m.Key] = m.Chunks
		}
		for _, m := range c2.Marks {
			n, shared := byKey[m.Key]
			same := s1 == s2 && m.Chunks <= len(t1) &&
				strings.Join(t1[:m.Chunks], "") == strings.Join(t2[:m.Chunks], "") &&
				(IsMark(m.Chunks) || m.Chunks == len(t1))
			assert.Equal(t, shared, same)
			if shared {
				assert.Equal(t, n, m.Chunks)
			}
		}
	})
}

func TestChainMarksAgreeWithKeys(t *testing.T) {
	text := strings.Repeat("the same specification ", 2000)
	c := NewChain(Scope{Organisation: "o"}, text)
	keys := Keys(c.Root, text)
	for _, m := range c.Marks {
		assert.Equal(t, m.Key, keys[m.Chunks-1])
	}
	tail, ok := c.Tail()
	assert.Assert(t, ok)
	assert.Equal(t, tail.Chunks, len(keys))
	assert.Equal(t, c.Anchor(), keys[AnchorChunks-1])
}

func TestPackedMarksRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := NewChain(Scope{}, strings.Repeat("z", rapid.IntRange(0, 60_000).Draw(t, "n")))
		got, err := Pack(c.Marks).Unpack()
		assert.NilError(t, err)
		assert.Equal(t, len(got), len(c.Marks))
		for i := range got {
			assert.Equal(t, got[i], c.Marks[i])
		}
	})
}

func FuzzUnpack(f *testing.F) {
	f.Add(3, []byte("0123456789abcdef"))
	f.Add(1<<40, []byte{})
	f.Fuzz(func(t *testing.T, chunks int, keys []byte) {
		marks, err := PackedMarks{Chunks: chunks, Keys: keys}.Unpack()
		if err == nil && len(marks)*KeySize != len(keys) {
			t.Fatalf("%d marks from %d bytes", len(marks), len(keys))
		}
	})
}

func BenchmarkNewChain(b *testing.B) {
	for _, kib := range []int{4, 64, 512} {
		text := strings.Repeat("x", kib<<10)
		b.Run(fmt.Sprint("KiB=", kib), func(b *testing.B) {
			b.SetBytes(int64(len(text)))
			b.ReportAllocs()
			for b.Loop() {
				NewChain(Scope{Organisation: "o"}, text)
			}
		})
	}
}
