package gateway

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/drumpath/drumpath/pkg/http1"
)

// refusal is an answer that the node itself gives instead of a replica's.
type refusal struct {
	status int
	// reason is a word for logs, metrics and the client.
	reason string
	// retryAfter is sent as Retry-After unless it is 0. Only refusals that guarantee
	// that the request did not run have one.
	retryAfter time.Duration
	// part is the part of the prompt for which it is refused, "" for none.
	part string
}

// Reasons of refusals.
const (
	reasonNoConfiguration = "no_configuration"
	reasonNoRoute         = "no_route"
	reasonUnknownKey      = "unknown_key"
	reasonBadRequest      = "bad_request"
	reasonTooLarge        = "too_large"
	reasonHeadTooLarge    = "head_too_large"
	reasonTooSlow         = "too_slow"
	reasonNoReplica       = "no_replica"
	reasonCold            = "cold"
	reasonBrittle         = "brittle"
	reasonLimited         = "limited"
	reasonEvacuated       = "evacuated"
	reasonOutsideHomes    = "outside_homes"
	reasonDraining        = "draining"
	reasonBackoff         = "backoff"
	reasonReplicasFull    = "replicas_full"
	reasonUnreachable     = "unreachable"
	reasonOverloaded      = "overloaded"
	// reasonServiceOverloaded: the loads of all nodes show that it would wait too long.
	reasonServiceOverloaded = "service_overloaded"
	reasonDeadline          = "deadline"
	reasonAnswerLost        = "answer_lost"
	reasonWeightsReplaced   = "weights_replaced"
	// reasonStreamUnknown: it is not known where the stream began that the client takes up, and
	// reasonStreamUnreachable: other nodes may know. reasonStreamGone: no replica of that version is left.
	reasonStreamUnknown     = "stream_unknown"
	reasonStreamUnreachable = "stream_unreachable"
	reasonStreamGone        = "stream_gone"
	// reasonSoftwareUnlisted: the version of the replicas' software is too new for streams to begin.
	reasonSoftwareUnlisted = "software_unlisted"
	reasonEndsReplicas     = "ends_replicas"
	reasonSuspected        = "suspected"
	reasonSuspended        = "suspended"
	reasonResponseMemory   = "response_memory"
	reasonRequestBytes     = "request_bytes"
	reasonStopping         = "stopping"
)

func refuse(status int, reason string) refusal { return refusal{status: status, reason: reason} }

// retryLater refuses a request that did not run and says when to retry.
func retryLater(reason string, retryAfter time.Duration) refusal {
	return refusal{status: http.StatusServiceUnavailable, reason: reason, retryAfter: retryAfter}
}

// encode returns the response as bytes; id is the request's ID, "" if it has none, and
// closes means that the connection closes after it.
func (f refusal) encode(codec Codec, id string, closes bool) []byte {
	body, err := json.Marshal(struct {
		Error string `json:"error"`
		Part  string `json:"part,omitempty"`
	}{f.reason, f.part})
	if err != nil {
		body = nil // A string always encodes.
	}
	fields := []http1.Field{{Name: "Content-Type", Value: "application/json"}}
	if id != "" {
		fields = append(fields, codec.RequestIDHeader(id))
	}
	if f.retryAfter > 0 {
		seconds := strconv.FormatFloat(f.retryAfter.Seconds(), 'f', 2, 64)
		fields = append(fields, http1.Field{Name: "Retry-After", Value: seconds})
	}
	b := http1.AppendResponse(nil, f.status, fields, len(body), closes)
	return append(b, body...)
}
