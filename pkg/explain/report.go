package explain

import (
	"bufio"
	"cmp"
	"encoding/json"
	"errors"
	"io"
	"slices"
)

// Report is what the log lines say about one request.
type Report struct {
	Request string
	// Lines are the request's lines, in order.
	Lines []Line
	// Before are the lines that show the state of the request's nodes and replicas
	// before it: the last one of each kind about the configuration, the weights, the
	// stores, the replicas and the request's content. For a client that takes up a stream they
	// include the lines of the attempt that began it.
	Before []Line
	// Cause is a short text that says why the request ended as it did.
	Cause string
	// Failed is true if the request got no successful answer.
	Failed bool
}

// ErrRequestNotFound is returned if no line names the request.
var ErrRequestNotFound = errors.New("no log line names this request")

// maxLine is the maximum length of a line in bytes.
const maxLine = 1 << 20

// Read reads log lines and reports on a request.
func Read(request string, inputs ...io.Reader) (Report, error) {
	var all []Line
	for _, in := range inputs {
		sc := bufio.NewScanner(in)
		sc.Buffer(nil, maxLine)
		for sc.Scan() {
			if l, ok := parseLine(sc.Bytes()); ok {
				l.seq = len(all)
				all = append(all, l)
			}
		}
		if err := sc.Err(); err != nil {
			return Report{}, err
		}
	}
	// Lines of one node keep their order in the input, as its clock may be set back.
	slices.SortStableFunc(all, func(a, b Line) int {
		if a.Node == b.Node {
			return cmp.Compare(a.seq, b.seq)
		}
		return a.Time.Compare(b.Time)
	})
	return report(request, all)
}

func report(request string, all []Line) (Report, error) {
	r := Report{Request: request}
	nodes, replicas, contents := map[string]bool{}, map[string]bool{}, map[string]bool{}
	begunBy := ""
	var part promptPart
	last := -1
	for i := range all {
		if all[i].Text("request") != request {
			continue
		}
		r.Lines = append(r.Lines, all[i])
		nodes[all[i].Node] = true
		if id := all[i].Text("replica"); id != "" {
			replicas[id] = true
		}
		if content := all[i].Text("content"); content != "" {
			contents[content] = true
		}
		if all[i].Msg == "request blocked" {
			part = promptPart{all[i].Text("service"), all[i].Text("part")}
		}
		if all[i].Msg == "stream taken up" {
			begunBy = all[i].Text("begun_by")
		}
		last = i
	}
	if last < 0 {
		return r, ErrRequestNotFound
	}
	r.Before = stateBefore(all[:last], nodes, replicas, contents, begunBy, part)
	r.Cause, r.Failed = cause(&r)
	return r, nil
}

// nodeMessages are messages whose last occurrence at a node shows that node's state.
// The value is the attribute that distinguishes such lines; the last line of each value
// is reported.
var nodeMessages = map[string]string{
	"configuration in force": "",
	"era of store began":     "",
	"weights named":          "model",
	"store lost":             "table",
	"store back":             "table",
	"store not reached, other nodes are asked":     "table",
	"store reached again":                          "table",
	"era of store learned":                         "",
	"store of kept state lost":                     "store",
	"store of kept state back":                     "store",
	"age of weights learned":                       "model",
	"stopping":                                     "",
	"node started":                                 "",
	"changed addresses hold only after a restart":  "",
	"replica not swapped in time":                  "replica",
	"configuration not usable, the last one stays": "",
}

// replicaMessages are messages of any node about a replica; the value is the attribute
// that names it.
var replicaMessages = map[string]string{
	"upstream listed":            "upstream",
	"upstream dropped":           "upstream",
	"order given":                "replica",
	"replica serves new weights": "replica",
	"replica not reached":        "replica",
}

// pathMessages are messages of a node about its path to a replica, which the value names.
var pathMessages = map[string]string{
	"path to replica lost": "replica",
	"path to replica back": "replica",
}

// contentMessages are messages of any node about requests with the same content as the
// reported one. The value is the attribute that distinguishes such lines.
var contentMessages = map[string]string{
	"replica ended under a request": "replica",
	"request suspected":             "verdict",
	"request no longer suspected":   "content",
	"prompt part blocked":           "part",
	"prompt part released":          "part",
}

// promptPart is the part of a prompt for which a request was blocked; its id is empty for none.
type promptPart struct{ service, id string }

// isIn reports whether a line is about the part, or about a prompt with it.
func (p promptPart) isIn(l *Line) bool {
	if p.id == "" || l.Text("service") != p.service {
		return false
	}
	var parts []string
	return l.Text("part") == p.id || json.Unmarshal(l.Values["parts"], &parts) == nil && slices.Contains(parts, p.id)
}

// streamMessages are messages about a stream that the client takes up, under the attempt that began it.
var streamMessages = map[string]bool{
	"stream begun":     true,
	"stream taken up":  true,
	"stream goes on":   true,
	"stream broke off": true,
	"stream cut":       true,
	"cut by a stop":    true,
	"client left":      true,
}

// supersedes maps messages to the opposite message; only the later line of the two is kept.
var supersedes = map[string]string{
	"store back":               "store lost",
	"store reached again":      "store not reached, other nodes are asked",
	"store of kept state back": "store of kept state lost",
	"path to replica back":     "path to replica lost",
}

func stateBefore(all []Line, nodes, replicas, contents map[string]bool, begunBy string, part promptPart) []Line {
	latest := map[string]Line{}
	for _, l := range all {
		if begunBy != "" && l.Text("request") == begunBy && streamMessages[l.Msg] {
			latest[l.Msg] = l
		}
		key, ok := nodeMessages[l.Msg]
		if pathKey, path := pathMessages[l.Msg]; path {
			key, ok = pathKey, replicas[l.Text(pathKey)]
		}
		if ok && nodes[l.Node] {
			kind := l.Msg
			if opposite, paired := supersedes[kind]; paired {
				kind = opposite
			}
			latest[l.Node+"\x00"+kind+"\x00"+l.Text(key)] = l
		}
		if key, ok := replicaMessages[l.Msg]; ok && replicas[l.Text(key)] {
			latest[l.Msg+"\x00"+l.Text(key)] = l
		}
		if key, ok := contentMessages[l.Msg]; ok && (contents[l.Text("content")] || part.isIn(&l)) {
			latest[l.Msg+"\x00"+l.Text(key)] = l
		}
	}
	list := make([]Line, 0, len(latest))
	for _, l := range latest {
		list = append(list, l)
	}
	slices.SortFunc(list, func(a, b Line) int { return cmp.Or(a.Time.Compare(b.Time), cmp.Compare(a.seq, b.seq)) })
	return list
}
