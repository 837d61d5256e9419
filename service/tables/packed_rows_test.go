package tables

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/drumpath/drumpath/pkg/site"
)

// routesText is the value of a configuration of n routes; a larger configuration begins with
// the same routes as a smaller one.
func routesText(version, n int) []byte {
	rng := rand.New(rand.NewPCG(1, 2))
	word := func(n int) string {
		b := make([]byte, n)
		for i := range b {
			b[i] = "abcdefghijklmnopqrstuvwxyz0123456789"[rng.IntN(36)]
		}
		return string(b)
	}
	var b bytes.Buffer
	fmt.Fprintf(&b, `{"config_version":%d,"routes":[`, version)
	for i := range n {
		if i > 0 {
			b.WriteByte(',')
		}
		fmt.Fprintf(&b, `{"name":"r-%s","host":"%s.example","path_prefix":"/%s/","kind":"streaming","timeout_ms":4000,`+
			`"target_latency_ms":500,"priority":1,"service":"huvo11a","max_attempts":2,"allow_anonymous":false,"sticky":true,"resumable":false,"gap_aim_ms":400}`,
			word(7), word(6), word(7))
	}
	b.WriteString(`],"services":[],"limits":{}}`)
	return b.Bytes()
}

func TestPackedRowsRoundTrip(t *testing.T) {
	rows := func(values ...[]byte) (list []site.Row) {
		for i, v := range values {
			list = append(list, site.Row{Key: fmt.Sprint("k", i), Position: at(int64(i + 1)), Value: v})
		}
		return append(list, site.Row{Key: "dropped", Position: at(99), Gone: true})
	}
	noise := make([]byte, 100_000)
	for i := range noise {
		noise[i] = byte(rand.IntN(256))
	}
	large := bytes.Repeat(routesText(1, 5600), 12) // Exceeds the largest window together with its base.
	for _, c := range []struct {
		name string
		rows []site.Row
		base []byte
	}{
		{"none", nil, nil},
		{"small", rows([]byte("a"), nil, []byte("{}")), nil},
		{"random bytes", rows(noise), nil},
		{"many", rows(routesText(2, 10), routesText(3, 20), noise), nil},
		{"large", rows(routesText(2, 5600)), nil},
		{"against a base", rows(routesText(2, 5600)), routesText(1, 4200)},
		{"against a dissimilar base", rows(routesText(2, 100)), noise},
		{"against itself", rows(noise), noise},
		{"larger than the window", rows(large), append([]byte("x"), large...)},
	} {
		t.Run(c.name, func(t *testing.T) {
			packed, err := packRows(c.rows, rowRef{Key: "k0", Digest: "1"}, c.base)
			assert.NilError(t, err)
			got, err := packed.unpack(c.base)
			assert.NilError(t, err)
			assert.Equal(t, len(got), len(c.rows))
			for i := range got {
				assert.Assert(t, bytes.Equal(got[i].Value, c.rows[i].Value))
				assert.Equal(t, got[i].Key, c.rows[i].Key)
				assert.Equal(t, got[i].Position, c.rows[i].Position)
				assert.Equal(t, got[i].Gone, c.rows[i].Gone)
			}
		})
	}
}

// The packed size grows with the change and not with the whole configuration.
func TestPackedSizeGrowsWithTheChange(t *testing.T) {
	size := func(n, more int) int {
		packed, err := packRows([]site.Row{{Key: "c", Position: at(2), Value: routesText(2, n+more)}}, rowRef{Key: "c", Digest: "1"}, routesText(1, n))
		assert.NilError(t, err)
		return len(packed.Data)
	}
	const perRoute, head = 30, 2000 // Bytes; a route's random characters alone are 13.
	for _, n := range []int{100, 1400, 5600, 20_000} {
		for _, more := range []int{0, 10, 1400} {
			got := size(n, more)
			t.Logf("%d routes, %d more: %d bytes", n, more, got)
			assert.Assert(t, got < head+perRoute*more+n/8, "%d routes, %d more: %d bytes", n, more, got)
		}
	}
}

// Rows that were packed against a base that this node lacks, or has with another value, give
// an error and not wrong rows.
func TestUnpackWithWrongBaseFails(t *testing.T) {
	packed, err := packRows([]site.Row{{Key: "c", Position: at(2), Value: routesText(2, 500)}}, rowRef{Key: "c", Digest: "1"}, routesText(1, 400))
	assert.NilError(t, err)
	_, err = packed.unpack(nil)
	assert.ErrorIs(t, err, errNoBase)
	other := routesText(1, 400)
	other[2000] ^= 1
	_, err = packed.unpack(other)
	assert.Assert(t, err != nil)
	packed.Data[len(packed.Data)/2] ^= 1
	_, err = packed.unpack(routesText(1, 400))
	assert.Assert(t, err != nil)
}

func TestFormerValuesAreBounded(t *testing.T) {
	var f formerValues
	digest := func(n int) valueDigest { return valueDigest(fmt.Sprint(n)) }
	for v := range maxFormerValues + 3 {
		f = f.add(formerValue{make([]byte, minBaseSize), digest(v)})
	}
	assert.Equal(t, len(f), maxFormerValues)
	assert.Assert(t, f.find(digest(maxFormerValues+2)) != nil)
	assert.Assert(t, f.find(digest(0)) == nil)
	f = f.add(formerValue{make([]byte, maxFormerBytes-minBaseSize), digest(100)})
	assert.Equal(t, len(f), 2)
	f = f.add(formerValue{make([]byte, maxFormerBytes+1), digest(101)})
	assert.Equal(t, len(f), 0)
}

// BenchmarkPackRows measures packing and unpacking one answer, by number of routes; the
// metric "told" is the packed size.
func BenchmarkPackRows(b *testing.B) {
	for _, n := range []int{100, 1000, 5600, 20_000} {
		for _, c := range []struct {
			name string
			more int
			base []byte
		}{
			{"one_more", 1, routesText(1, n)},
			{"1400_more", 1400, routesText(1, n)},
			{"whole", 0, nil},
		} {
			rows := []site.Row{{Key: "c", Position: at(2), Value: routesText(2, n+c.more)}}
			packed, err := packRows(rows, rowRef{Key: "c", Digest: "1"}, c.base)
			assert.NilError(b, err)
			b.Run(fmt.Sprintf("pack/%s/%d", c.name, n), func(b *testing.B) {
				for b.Loop() {
					_, err := packRows(rows, rowRef{Key: "c", Digest: "1"}, c.base)
					assert.NilError(b, err)
				}
				b.ReportMetric(float64(len(packed.Data)), "told")
				b.ReportMetric(float64(len(rows[0].Value)), "value")
			})
			b.Run(fmt.Sprintf("unpack/%s/%d", c.name, n), func(b *testing.B) {
				for b.Loop() {
					_, err := packed.unpack(c.base)
					assert.NilError(b, err)
				}
			})
		}
	}
}

// FuzzUnpackRows checks that any bytes from a peer give rows or an error: a peer of another
// version, or with faulty memory, must not crash this node.
func FuzzUnpackRows(f *testing.F) {
	const (
		mutants    = 400 // Of each seed, so that tests without -fuzz see some.
		maxChanged = 4   // Bytes that differ.
	)
	base := routesText(1, 400)
	rows := []site.Row{{Key: "c", Position: at(2), Value: routesText(2, 500)}, {Key: "d", Position: at(3), Gone: true}}
	withBase, err := packRows(rows, rowRef{Key: "c", Digest: "1"}, base)
	assert.NilError(f, err)
	packed, err := packRows(rows, rowRef{}, nil)
	assert.NilError(f, err)
	plain, err := packRows([]site.Row{{Key: "c", Position: at(2), Value: []byte("abcdefgh")}}, rowRef{}, nil)
	assert.NilError(f, err)
	rng := rand.New(rand.NewPCG(1, 2))
	for _, t := range []packedRows{withBase, packed, plain} {
		hasBase := t.Base != rowRef{}
		f.Add(t.Data, t.Packed, hasBase)
		for range mutants {
			data := bytes.Clone(t.Data)
			for range 1 + rng.IntN(maxChanged) {
				data[rng.IntN(len(data))] = byte(rng.IntN(256))
			}
			f.Add(data[:len(data)-rng.IntN(3)], t.Packed, hasBase)
		}
	}
	f.Fuzz(func(t *testing.T, data []byte, packed, hasBase bool) {
		input, baseValue := packedRows{Data: data, Packed: packed}, []byte(nil)
		if hasBase {
			input.Base, baseValue = rowRef{Key: "c", Digest: "1"}, base
		}
		rows, err := input.unpack(baseValue)
		if err != nil {
			return
		}
		again, err := packRows(rows, input.Base, baseValue)
		assert.NilError(t, err)
		_, err = again.unpack(baseValue)
		assert.NilError(t, err, "unpacked rows can be packed again")
	})
}
