package explain

import (
	"bufio"
	"cmp"
	"errors"
	"io"
	"slices"
)

// Report is what the lines tell of one request.
type Report struct {
	Request string
	// Lines are those of the request, in order.
	Lines []Line
	// Before are the lines that tell what its nodes believed: the last of each
	// kind about the configuration, the weights, the store, and its replicas.
	Before []Line
	// Cause says in one sentence why the request ended as it did.
	Cause string
	// Failed says that it was not answered in good order.
	Failed bool
}

// ErrUnknown says that no line names the request.
var ErrUnknown = errors.New("no line names this request")

// maxLine is the longest line that is read.
const maxLine = 1 << 20

// Read reads lines and reports on a request.
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
	// Lines of one process come in its order, whatever its clock does.
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
		last = i
	}
	if last < 0 {
		return r, ErrUnknown
	}
	r.Before = beliefs(all[:last], nodes, replicas, contents)
	r.Cause, r.Failed = cause(&r)
	return r, nil
}

// beliefKinds are lines of which the last one of a node tells what it believed;
// the value is the key that tells such lines apart.
var beliefKinds = map[string]string{
	"configuration in force": "",
	"weights named":          "model",
	"store lost":             "table",
	"store back":             "table",
	"store not reached, other nodes are asked":     "table",
	"store reached again":                          "table",
	"store of kept state lost":                     "store",
	"store of kept state back":                     "store",
	"stopping":                                     "",
	"node started":                                 "",
	"changed addresses hold only after a restart":  "",
	"replica not swapped in time":                  "replica",
	"configuration not usable, the last one stays": "",
}

// replicaKinds are lines of any node that tell of a replica.
var replicaKinds = map[string]string{
	"upstream listed":            "upstream",
	"upstream dropped":           "upstream",
	"order given":                "replica",
	"replica serves new weights": "replica",
	"replica not reached":        "replica",
}

// contentKinds are lines of any node that tell of a content, whichever request had it; the
// value is the key that tells such lines apart.
var contentKinds = map[string]string{
	"replica ended under a request": "replica",
	"request suspected":             "verdict",
	"request no longer suspected":   "content",
}

// pairs are kinds of which only the later one counts.
var pairs = map[string]string{
	"store back":               "store lost",
	"store reached again":      "store not reached, other nodes are asked",
	"store of kept state back": "store of kept state lost",
}

func beliefs(all []Line, nodes, replicas, contents map[string]bool) []Line {
	kept := map[string]Line{}
	for _, l := range all {
		if key, ok := beliefKinds[l.Msg]; ok && nodes[l.Node] {
			kind := l.Msg
			if first, paired := pairs[kind]; paired {
				kind = first
			}
			kept[l.Node+"\x00"+kind+"\x00"+l.Text(key)] = l
		}
		if key, ok := replicaKinds[l.Msg]; ok && replicas[l.Text(key)] {
			kept[l.Msg+"\x00"+l.Text(key)] = l
		}
		if key, ok := contentKinds[l.Msg]; ok && contents[l.Text("content")] {
			kept[l.Msg+"\x00"+l.Text(key)] = l
		}
	}
	list := make([]Line, 0, len(kept))
	for _, l := range kept {
		list = append(list, l)
	}
	slices.SortFunc(list, func(a, b Line) int { return cmp.Or(a.Time.Compare(b.Time), cmp.Compare(a.seq, b.seq)) })
	return list
}
