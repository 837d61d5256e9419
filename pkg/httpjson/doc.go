// Package httpjson makes JSON calls over HTTP to the platform and to upstreams.
package httpjson
