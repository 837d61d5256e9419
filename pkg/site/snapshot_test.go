package site

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// The lookup by prefixes of the path must find the same route as a comparison with each.
func TestRouteHasTheLongestMatchingPrefix(t *testing.T) {
	part := rapid.SampledFrom([]string{"a", "b", "ab", ""})
	path := rapid.Custom(func(t *rapid.T) string {
		return "/" + strings.Join(rapid.SliceOfN(part, 0, 4).Draw(t, "parts"), "/")
	})
	rapid.Check(t, func(t *rapid.T) {
		var routes []*Route
		for i, prefix := range rapid.SliceOfN(path, 0, 8).Draw(t, "prefixes") {
			if rapid.Bool().Draw(t, "closed") && !strings.HasSuffix(prefix, "/") {
				prefix += "/"
			}
			if rapid.IntRange(0, 9).Draw(t, "none") == 0 {
				prefix = ""
			}
			routes = append(routes, &Route{Name: fmt.Sprint(i), Host: "h", Prefix: prefix})
		}
		s := NewSnapshot(1, routes, nil, Limits{})
		for _, p := range rapid.SliceOfN(path, 1, 8).Draw(t, "paths") {
			want := -1
			for _, r := range routes {
				if strings.HasPrefix(p, r.Prefix) {
					want = max(want, len(r.Prefix))
				}
			}
			got := -1
			if r := s.Route("H:80", p); r != nil {
				assert.Assert(t, strings.HasPrefix(p, r.Prefix))
				got = len(r.Prefix)
			}
			assert.Equal(t, got, want, "path %q", p)
		}
	})
}

func TestFirstOfTwoEqualRoutesIsUsed(t *testing.T) {
	routes := []*Route{{Name: "a", Host: "h", Prefix: "/x/"}, {Name: "b", Host: "h", Prefix: "/x/"}}
	assert.Equal(t, NewSnapshot(1, routes, nil, Limits{}).Route("h", "/x/y").Name, "a")
	routes = []*Route{{Name: "a", Host: "h", Prefix: "/x"}, {Name: "b", Host: "h", Prefix: "/x"}}
	assert.Equal(t, NewSnapshot(1, routes, nil, Limits{}).Route("h", "/x/y").Name, "a")
}

// Guards against slow lookups that any client can cause: a path of 16,000 slashes took
// 4.7 ms when each of its prefixes was hashed, also those longer than any route's.
func BenchmarkRouteOfLongPath(b *testing.B) {
	var routes []*Route
	for i := range 5600 {
		routes = append(routes, &Route{Host: "h", Prefix: fmt.Sprintf("/r%05d/x/", i)})
	}
	s := NewSnapshot(1, routes, nil, Limits{})
	for _, n := range []int{100, 1000, 16_000} {
		path := strings.Repeat("/", n)
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				s.Route("h", path)
			}
		})
	}
}
