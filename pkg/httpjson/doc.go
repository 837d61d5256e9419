// Package httpjson makes JSON calls over HTTP to platform services and upstreams.
package httpjson
