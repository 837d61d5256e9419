package explain

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"
)

// lateFirst is from when on the time to the first byte is spoken of.
const lateFirst = 300 * time.Millisecond

// cause finds the sentence for a request; failed says that it was not answered in
// good order.
func cause(r *Report) (sentence string, failed bool) {
	last := &r.Lines[len(r.Lines)-1]
	switch last.Msg {
	case "refused":
		return refusal(r, last), true
	case "client left":
		return fmt.Sprintf("The client closed its connection after %s, %s.", short(last.Duration("after")), progress(r)), true
	case "cut by a stop":
		return fmt.Sprintf("The node was stopped and closed the connection after %s, %s.", short(last.Duration("after")), progress(r)), true
	case "stream cut":
		return fmt.Sprintf("The stream was broken off towards the client: %s.", stream(r, last)), true
	case "replica failed":
		return fmt.Sprintf("Replica %s ran it and answered %s after %s (%s); that answer was delivered.",
			last.Text("replica"), last.Text("status"), short(last.Duration("after")), refusals(r)), true
	case "answered":
		return answered(r, last)
	default:
		return fmt.Sprintf("The last line is %q: the process ended before the request did, or later lines are missing.", last.Msg), true
	}
}

// refusal explains an answer of the node's own.
func refusal(r *Report, l *Line) string {
	ran := "It did not run"
	if l.Int("attempts") > 0 {
		ran = "It may have run"
	}
	why := ""
	switch l.Text("reason") {
	case "overloaded":
		why = fmt.Sprintf("the prompt would have waited too long: the median replica had prompts wait %s, %s of %s replicas could be used, and the node served %s requests",
			short(l.Duration("median_wait")), l.Text("usable"), l.Text("replicas"), l.Text("in_flight"))
	case "replicas_full":
		why = fmt.Sprintf("all %s replicas that were offered it refused or could not be reached (%s)", l.Text("not_run"), refusals(r))
	case "no_replica":
		why = fmt.Sprintf("%s of %s replicas of service %s could be used; the list of upstreams was %s old%s",
			l.Text("usable"), l.Text("replicas"), l.Text("service"), short(l.Duration("list_age")), away(l))
	case "cold":
		why = fmt.Sprintf("the replicas of service %s that may be used were left out: cold, or taken to be as they had not been reached, and this node's share of them was used up (%s of %s could be used)",
			l.Text("service"), l.Text("usable"), l.Text("replicas"))
	case "limited":
		why = fmt.Sprintf("the replicas of service %s that may be used take only so many requests a second from all nodes together, as their answers say, and that was used up (%s of %s could be used)",
			l.Text("service"), l.Text("usable"), l.Text("replicas"))
	case "backoff":
		why = fmt.Sprintf("the replicas of service %s that may be used had turned requests of this node away and asked it to send them nothing for a while (%s of %s could be used)",
			l.Text("service"), l.Text("usable"), l.Text("replicas"))
	case "draining":
		why = fmt.Sprintf("the replicas of service %s are about to end, as their rows or their answers say (%s of %s could be used)",
			l.Text("service"), l.Text("usable"), l.Text("replicas"))
	case "evacuated":
		why = fmt.Sprintf("the replicas of service %s that may be used were left out: their data halls are evacuated", l.Text("service"))
	case "outside_homes":
		why = fmt.Sprintf("the replicas of service %s were left out: they are outside the homes of the request", l.Text("service"))
	case "deadline":
		why = "its time was over" + waiting(r)
	case "answer_lost":
		why = "the answer was lost: " + lost(r)
	case "ends_replicas":
		why = "replicas ended under the same content: " + ended(r)
	case "suspected":
		why = "replicas ended under the same content, and another such request was under way"
	case "suspended":
		why = "the node's machine had been suspended, and it had not heard yet what held then"
	case "no_configuration":
		why = "the node had just started and knew no configuration" + away(l)
	case "no_route":
		why = fmt.Sprintf("no route of configuration %s has this host and path; the list of upstreams was last heard of %s before", l.Text("config"), short(l.Duration("list_age")))
	case "unknown_key":
		why = fmt.Sprintf("no organisation of configuration %s holds the key", l.Text("config"))
	default:
		why = "what the client sent can't be served (" + l.Text("reason") + ")"
	}
	return fmt.Sprintf("Answered %s after %s: %s. %s.", l.Text("status"), short(l.Duration("after")), why, ran)
}

// answered explains an answer that may have come late.
func answered(r *Report, l *Line) (string, bool) {
	s := fmt.Sprintf("Answered by %s after %d ms, the first byte after %d ms (expected %d ms)",
		l.Text("replica"), l.Int("all_ms"), l.Int("first_ms"), l.Int("expected_ms"))
	var why []string
	if before := l.Int("before_ms"); before > 0 {
		why = append(why, fmt.Sprintf("it waited %d ms here before it was sent", before))
	}
	if time.Duration(l.Int("first_ms"))*time.Millisecond >= lateFirst {
		why = append(why, lateReasons(l)...)
	}
	if n := l.Int("attempts") + l.Int("not_run"); n > 1 {
		why = append(why, fmt.Sprintf("it took %d attempts (%s)", n, refusals(r)))
	}
	if len(why) > 0 {
		s += ": " + strings.Join(why, "; ")
	}
	return s + ".", false
}

func lateReasons(l *Line) []string {
	var why []string
	if l.Int("weights") < l.Int("newest") {
		why = append(why, fmt.Sprintf("the replica had weights %d while %d were named", l.Int("weights"), l.Int("newest")))
	}
	shared, kept := l.Int("shared"), l.Int("kept")
	if shared > 0 && kept < shared {
		why = append(why, fmt.Sprintf("%d of its %d shared tokens were neither held by the replica nor to be fetched, so they were read", shared-kept, shared))
	}
	if l.Int("fetched") > 0 && l.Int("first_ms") > 2*l.Int("expected_ms") {
		why = append(why, fmt.Sprintf("it fetched %d tokens, and what it fetched or the replica came later than expected", l.Int("fetched")))
	}
	return why
}

// refusals lists what replicas answered or why they were not reached.
func refusals(r *Report) string {
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
		case "answer lost", "answer cut short", "stream broke off":
			list = append(list, l.Text("replica")+": "+l.Msg)
		}
	}
	if len(list) == 0 {
		return "no line tells more"
	}
	return strings.Join(list, ", ")
}

func lost(r *Report) string {
	for i := len(r.Lines) - 1; i >= 0; i-- {
		l := &r.Lines[i]
		if l.Msg == "answer lost" || l.Msg == "answer cut short" || l.Msg == "stream broke off" {
			return fmt.Sprintf("%s, replica %s: %s", l.Msg, l.Text("replica"), l.Text("err"))
		}
	}
	return refusals(r)
}

// ended lists the replicas that ended under what the request asks.
func ended(r *Report) string {
	for i := len(r.Lines) - 1; i >= 0; i-- {
		var list []string
		if l := &r.Lines[i]; l.Msg == "request blocked" && json.Unmarshal(l.Values["replicas"], &list) == nil {
			return strings.Join(list, ", ")
		}
	}
	return "no line tells which"
}

func stream(r *Report, l *Line) string {
	if l.Text("reason") == "deadline" {
		return "its time was over while it streamed"
	}
	return lost(r)
}

func waiting(r *Report) string {
	if n := len(r.Lines); n > 1 {
		return ", after " + refusals(r)
	}
	return " while a replica worked on it or was silent"
}

func progress(r *Report) string {
	if len(r.Lines) > 1 {
		return "after " + refusals(r)
	}
	return "before its answer was whole"
}

// away tells of an absence of the store that may matter.
func away(l *Line) string {
	if d := l.Duration("store_away"); d > 0 && d < 10*time.Second {
		return fmt.Sprintf(", and the platform's store could not be reached %s before", short(d))
	}
	return ""
}

func short(d time.Duration) string { return d.Round(time.Millisecond).String() }
