// Package site has the types of a site's configuration (routes, services, organisations
// and limits), and of its upstreams as the platform lists them. Values are snapshots:
// they are immutable once they are in use.
package site
