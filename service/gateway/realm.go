package gateway

import (
	"net/url"
	"slices"
	"strconv"
	"strings"

	"github.com/drumpath/drumpath/pkg/history"
	"github.com/drumpath/drumpath/pkg/route"
)

// realm is a cache namespace: that of one model and one version of its weights, of one group of requests that
// share, and of the same homes if requests have some. As its name is part of the cache key, no check can be
// forgotten.
type realm struct {
	model   string
	weights int64
	group   cacheGroup
	homes   []string
}

// cacheGroup is a group of requests that share KV cache. Who is in the group of a name never changes in such a way that
// one of them must not use what another one made.
type cacheGroup struct {
	kind groupKind
	// organisation, period and config are set for groupOrganisation, groupPeriod and groupConfig.
	organisation string
	period       route.SharingPeriod
	config       int64
	// provisional means that this node does not know the period of the configuration in force. It is no part of the
	// name.
	provisional bool
}

type groupKind int

const (
	// groupAll is all requests of a configuration without organisations.
	groupAll groupKind = iota
	// groupOrganisation is the requests of one organisation.
	groupOrganisation
	// groupPeriod is the requests of all organisations that share in a period.
	groupPeriod
	// groupConfig is the requests of all organisations that are not isolated in a configuration, at nodes that do not know its
	// period yet.
	groupConfig
)

// Parts of a realm's name, each after a slash.
const (
	realmOrganisation = "only:"
	realmPeriod       = "since:"
	realmConfig       = "at:"
	realmHomes        = "in:"
)

// String returns the realm's name. Models and organisations are escaped, as their names must not look like other parts
// of it.
func (r realm) String() string {
	name := url.QueryEscape(r.model) + "@" + strconv.FormatInt(r.weights, 10)
	switch r.group.kind {
	case groupOrganisation:
		name += "/" + realmOrganisation + url.QueryEscape(r.group.organisation)
	case groupPeriod:
		name += "/" + realmPeriod + r.group.period.String()
	case groupConfig:
		name += "/" + realmConfig + strconv.FormatInt(r.group.config, 10)
	}
	if len(r.homes) > 0 {
		name += "/" + realmHomes + strings.Join(slices.Sorted(slices.Values(r.homes)), "+")
	}
	return name
}

// parseRealm returns the model, the weights and the group of a realm; ok is false if String did not make its name. Names that
// nodes of earlier releases made have no group.
func parseRealm(name string) (r realm, ok bool) {
	model, rest, found := strings.Cut(name, "@")
	parts := strings.Split(rest, "/")
	weights, err := strconv.ParseInt(parts[0], 10, 64)
	if !found || err != nil {
		return r, false
	}
	if r.model, err = url.QueryUnescape(model); err != nil {
		return r, false
	}
	r.weights = weights
	for _, p := range parts[1:] {
		if r.group, ok = parseGroup(p); ok {
			break
		}
	}
	return r, true
}

func parseGroup(text string) (g cacheGroup, ok bool) {
	var err error
	if rest, is := strings.CutPrefix(text, realmOrganisation); is {
		g.kind = groupOrganisation
		g.organisation, err = url.QueryUnescape(rest)
		return g, err == nil
	}
	if rest, is := strings.CutPrefix(text, realmConfig); is {
		g.kind = groupConfig
		g.config, err = strconv.ParseInt(rest, 10, 64)
		return g, err == nil
	}
	rest, is := strings.CutPrefix(text, realmPeriod)
	if !is {
		return g, false
	}
	era, config, _ := strings.Cut(rest, ".")
	n, err := strconv.ParseInt(era, 10, 64)
	if err != nil {
		return g, false
	}
	g.kind, g.period.Era = groupPeriod, history.Era(n)
	g.period.Config, err = strconv.ParseInt(config, 10, 64)
	return g, err == nil
}

// unsharedRealmPrefix begins the realms of single requests, which share no cache.
const unsharedRealmPrefix = "?"

// realm returns the namespace that the request shares for a version of the model's weights. It follows the configuration
// in force now: the request may have waited since an earlier one.
func (x *exchange) realm(weights int64) realm {
	organisation := ""
	if x.organisation != nil {
		organisation = x.organisation.Name
	}
	return realm{model: x.pickInput.Model, weights: weights, group: x.g.siteState.cacheGroup(organisation), homes: x.pickInput.Homes}
}
