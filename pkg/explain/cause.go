package explain

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"
)

// slowFirstByte is the time to the first byte from which on its causes are listed.
const slowFirstByte = 300 * time.Millisecond

// cause returns the sentence that explains a request's end; failed reports whether it got
// no successful answer.
func cause(r *Report) (sentence string, failed bool) {
	last := lastLine(r)
	switch last.Msg {
	case "refused":
		return explainRefusal(r, last), true
	case "client left":
		return fmt.Sprintf("The client closed its connection after %s, %s.", formatDuration(last.Duration("after")), progressNote(r)), true
	case "cut by a stop":
		return fmt.Sprintf("The node was stopped and closed the connection after %s, %s.", formatDuration(last.Duration("after")), progressNote(r)), true
	case "stream cut":
		return fmt.Sprintf("The stream to the client was aborted: %s.", streamCause(r, last)), true
	case "replica failed":
		return fmt.Sprintf("Replica %s ran it and answered %s after %s (%s); that answer was delivered.",
			last.Text("replica"), last.Text("status"), formatDuration(last.Duration("after")), listRefusals(r)), true
	case "answered":
		return explainAnswer(r, last)
	default:
		return fmt.Sprintf("The last line is %q: the process ended before the request did, or later lines are missing.", last.Msg), true
	}
}

// lastLine returns the line that ends the request. A move of its run that was under way may end
// later, and so may the line of a node that forwarded it.
func lastLine(r *Report) *Line {
	for i := len(r.Lines) - 1; i > 0; i-- {
		switch l := &r.Lines[i]; l.Msg {
		case "run not moved", "copy not dropped", "request forwarded":
		default:
			return l
		}
	}
	return &r.Lines[0]
}

// explainRefusal explains an error with which the node itself answered.
func explainRefusal(r *Report, l *Line) string {
	ran := "It did not run"
	if l.Int("attempts") > 0 {
		ran = "It may have run"
	}
	why := ""
	switch l.Text("reason") {
	case "overloaded":
		why = fmt.Sprintf("the prompt would have waited too long: the expected wait at the median replica was %s, %s of %s replicas could be used, and the node was serving %s requests",
			formatDuration(l.Duration("median_wait")), l.Text("usable"), l.Text("replicas"), l.Text("in_flight"))
	case "service_overloaded":
		why = fmt.Sprintf("by the loads of all nodes a prompt of its priority would have waited %s, longer than its client waits; less urgent prompts are refused first (%s of %s replicas could be used)",
			formatDuration(l.Duration("expected_wait")), l.Text("usable"), l.Text("replicas"))
	case "replicas_full":
		why = fmt.Sprintf("all %s replicas that were tried refused or could not be reached (%s)", l.Text("not_run"), listRefusals(r))
	case "unreachable":
		why = fmt.Sprintf("no connection could be made to any of the %s replicas that were tried, for which it waited %s (%s)",
			l.Text("unreached"), formatDuration(l.Duration("connecting")), listRefusals(r))
	case "no_replica":
		why = fmt.Sprintf("%s of %s replicas of service %s could be used; the list of upstreams was %s old%s",
			l.Text("usable"), l.Text("replicas"), l.Text("service"), formatDuration(l.Duration("list_age")), storeOutage(l))
	case "cold":
		why = fmt.Sprintf("the replicas of service %s that may be used were cold, or assumed to be as they had not been reached, and this node's share of requests to cold replicas was used up (%s of %s could be used)",
			l.Text("service"), l.Text("usable"), l.Text("replicas"))
	case "brittle":
		why = fmt.Sprintf("the replicas of service %s are brittle, according to their answers, and this node's share of their slots was used up", l.Text("service"))
	case "limited":
		why = fmt.Sprintf("the replicas of service %s that may be used have named in their answers a limit of requests per second from all nodes together, and it was used up (%s of %s could be used)",
			l.Text("service"), l.Text("usable"), l.Text("replicas"))
	case "backoff":
		why = fmt.Sprintf("the replicas of service %s that may be used had refused requests and asked this node to back off (%s of %s could be used)",
			l.Text("service"), l.Text("usable"), l.Text("replicas"))
	case "draining":
		why = fmt.Sprintf("the replicas of service %s are draining, according to their rows or their answers (%s of %s could be used)",
			l.Text("service"), l.Text("usable"), l.Text("replicas"))
	case "evacuated":
		why = fmt.Sprintf("the replicas of service %s that may be used are in evacuated data halls", l.Text("service"))
	case "outside_homes":
		why = fmt.Sprintf("the replicas of service %s are outside the home regions of the request", l.Text("service"))
	case "deadline":
		why = "its deadline had passed" + deadlineContext(r)
	case "answer_lost":
		why = "the answer was lost: " + lostAnswer(r)
	case "weights_replaced":
		why = "the engine did not begin the prompt before its weights were too old"
	case "stream_unknown":
		why = "it is not known where the stream began that the client takes up" + originNote(r)
	case "stream_gone":
		why = "no replica that may be used has the version that began the stream that the client takes up" + originNote(r)
	case "stream_unreachable":
		why = "the node did not reach the others, which may know where the stream began that the client takes up" + originNote(r)
	case "software_unlisted":
		why = fmt.Sprintf("the versions of the software of service %s are not listed in the platform's store yet, so no stream may begin there%s", l.Text("service"), storeOutage(l))
	case "request_bytes":
		why = fmt.Sprintf("what the replicas of service %s may hold of this node's requests, in bytes, was used up", l.Text("service"))
	case "response_memory":
		why = "the node had no memory for the response, which others with slow clients took up, and the replica did not wait"
	case "ends_replicas":
		why = "replicas ended under " + blockedCause(r) + ": " + listEndedReplicas(r)
	case "suspected":
		why = "replicas ended under the same content or a part of its prompt, and another such request was under way"
	case "stopping":
		why = "the node was stopping, and the request would not be answered within its grace period, or was not by its end"
	case "suspended":
		why = "the node's machine had been suspended, and the node had not refreshed its state yet"
	case "no_configuration":
		why = "the node had just started and had no configuration yet" + storeOutage(l)
	case "no_route":
		why = fmt.Sprintf("no route of configuration %s has this host and path; the list of upstreams was last confirmed %s before", l.Text("config"), formatDuration(l.Duration("list_age")))
	case "unknown_key":
		why = fmt.Sprintf("no organisation of configuration %s has the API key", l.Text("config"))
	default:
		why = "the client's request can't be served (" + l.Text("reason") + ")"
	}
	return fmt.Sprintf("Answered %s after %s: %s. %s.", l.Text("status"), formatDuration(l.Duration("after")), why, ran)
}

// explainAnswer describes a delivered answer and, if it was late, why.
func explainAnswer(r *Report, l *Line) (string, bool) {
	s := fmt.Sprintf("Answered by %s after %d ms, the first byte after %d ms (expected %d ms)",
		l.Text("replica"), l.Int("all_ms"), l.Int("first_ms"), l.Int("expected_ms"))
	var why []string
	if via := l.Text("via"); via != "" {
		why = append(why, fmt.Sprintf("node %s had no path to the replica, and node %s forwarded the request%s", l.Node, via, forwardNote(r)))
	}
	if before := l.Int("before_ms"); before > 0 {
		why = append(why, fmt.Sprintf("it waited %d ms at the node before it was sent", before))
	}
	if time.Duration(l.Int("first_ms"))*time.Millisecond >= slowFirstByte {
		why = append(why, slowReasons(l)...)
	}
	if note := originNote(r); note != "" {
		why = append(why, "it takes up a stream"+note)
	}
	if at := l.Text("resumed_at"); at != "" {
		why = append(why, "its run went on at "+at)
	}
	if n := l.Int("attempts") + l.Int("not_run"); n > 1 {
		why = append(why, fmt.Sprintf("it took %d attempts (%s)", n, listRefusals(r)))
	}
	if len(why) > 0 {
		s += ": " + strings.Join(why, "; ")
	}
	return s + ".", false
}

// originNote tells what was known of the beginning of the stream that the client takes up, "" if it takes up
// none.
func originNote(r *Report) string {
	for i := range r.Lines {
		l := &r.Lines[i]
		if l.Msg != "stream taken up" {
			continue
		}
		note := " after event " + l.Text("last_event")
		if begunBy := l.Text("begun_by"); begunBy != "" {
			note += " of attempt " + begunBy
		}
		if l.Text("verdict") != verdictGoesOn {
			return note + " (" + l.Text("verdict") + ")"
		}
		note += fmt.Sprintf(", which began at version %s of service %s", l.Text("begun_at"), l.Text("service"))
		if age := l.Int("age_ms"); age > 0 {
			note += fmt.Sprintf(" %d ms before", age)
		}
		return note + " (known by: " + l.Text("known_by") + ")"
	}
	return ""
}

// verdictGoesOn is the verdict on a stream whose origin is certain.
const verdictGoesOn = "goes_on"

// forwardNote tells how long the node that forwarded the request took, if it logged that.
func forwardNote(r *Report) string {
	for i := range r.Lines {
		if l := &r.Lines[i]; l.Msg == "request forwarded" {
			return fmt.Sprintf(" (%s there)", formatDuration(l.Duration("after")))
		}
	}
	return ""
}

func slowReasons(l *Line) []string {
	var why []string
	if l.Int("weights") < l.Int("newest") {
		why = append(why, fmt.Sprintf("the replica had weights %d while version %d was named", l.Int("weights"), l.Int("newest")))
	}
	shared, kept := l.Int("shared"), l.Int("kept")
	if shared > 0 && kept < shared {
		why = append(why, fmt.Sprintf("%d of its %d shared tokens were neither held by the replica nor fetched, so they were computed", shared-kept, shared))
	}
	if l.Int("fetched") > 0 && l.Int("first_ms") > 2*l.Int("expected_ms") {
		why = append(why, fmt.Sprintf("it fetched %d tokens, and the fetch or the replica took longer than expected", l.Int("fetched")))
	}
	return why
}

// listRefusals lists the attempts that failed, with the replicas' statuses.
func listRefusals(r *Report) string {
	var list []string
	for i := range r.Lines {
		l := &r.Lines[i]
		switch l.Msg {
		case "replica refused":
			list = append(list, l.Text("replica")+" answered "+l.Text("status"))
		case "replica failed":
			list = append(list, l.Text("replica")+" answered "+l.Text("status")+" after running it")
		case "replica not reached":
			list = append(list, l.Text("replica")+" was not reached")
		case "request not forwarded":
			list = append(list, fmt.Sprintf("node %s did not forward it to %s (%s)", l.Text("node"), l.Text("replica"), l.Text("reason")))
		case "response cut off unread":
			list = append(list, l.Text("replica")+" answered, and the node had no memory for the response")
		case "run not moved":
			list = append(list, l.Text("replica")+" did not move the run to "+l.Text("target"))
		case "run not resumed":
			list = append(list, l.Text("replica")+" did not go on with the run")
		case "answer lost", "answer cut short", "stream broke off":
			list = append(list, l.Text("replica")+": "+l.Msg)
		}
	}
	if len(list) == 0 {
		return "no line gives details"
	}
	return strings.Join(list, ", ")
}

func lostAnswer(r *Report) string {
	for i := len(r.Lines) - 1; i >= 0; i-- {
		l := &r.Lines[i]
		if l.Msg == "answer lost" || l.Msg == "answer cut short" || l.Msg == "stream broke off" {
			return fmt.Sprintf("%s, replica %s: %s", l.Msg, l.Text("replica"), l.Text("err"))
		}
	}
	return listRefusals(r)
}

// blockedCause names what the request has in common with those under which replicas ended.
func blockedCause(r *Report) string {
	for i := range r.Lines {
		if l := &r.Lines[i]; l.Msg == "request blocked" && l.Text("part") != "" {
			return fmt.Sprintf("prompts of service %s with the same part %s", l.Text("service"), l.Text("part"))
		}
	}
	return "the same content"
}

// listEndedReplicas lists the replicas that ended under the request's content, or under a part of its prompt.
func listEndedReplicas(r *Report) string {
	for i := len(r.Lines) - 1; i >= 0; i-- {
		var list []string
		if l := &r.Lines[i]; l.Msg == "request blocked" && json.Unmarshal(l.Values["replicas"], &list) == nil {
			return strings.Join(list, ", ")
		}
	}
	return "no line names them"
}

func streamCause(r *Report, l *Line) string {
	if l.Text("reason") == "deadline" {
		return "its deadline passed while it was streaming"
	}
	return lostAnswer(r)
}

func deadlineContext(r *Report) string {
	if n := len(r.Lines); n > 1 {
		return ", after " + listRefusals(r)
	}
	return " while a replica was running it or not responding"
}

func progressNote(r *Report) string {
	if len(r.Lines) > 1 {
		return "after " + listRefusals(r)
	}
	return "before its answer was complete"
}

// storeOutage mentions an outage of the platform's store that may have been the cause.
func storeOutage(l *Line) string {
	if d := l.Duration("store_away"); d > 0 && d < 10*time.Second {
		return fmt.Sprintf(", and the platform's store could not be reached %s before", formatDuration(d))
	}
	return ""
}

func formatDuration(d time.Duration) string { return d.Round(time.Millisecond).String() }
