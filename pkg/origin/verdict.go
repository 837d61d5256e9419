package origin

// Verdict is whether a stream that a client takes up may go on.
type Verdict string

// Verdicts.
const (
	// GoesOn: its origin is certain.
	GoesOn Verdict = "goes_on"
	// Unknown: no node that answered has a record of it, and the service is not known to have one version
	// only.
	Unknown Verdict = "unknown"
	// Unreachable: the same, but this node does not reach others that may know more.
	Unreachable Verdict = "unreachable"
)

// Evidence is what a node has found out about a stream that a client takes up.
type Evidence struct {
	// Record is that of the attempt that the client names, nil if there is none.
	Record *Record
	// Service is the only service that the route sends requests to, "" if there are several.
	Service string
	// Versions are those of that service, by a read of the store that began after the client's request
	// was received. ReadVersions is false if it failed or was not made. Complete is false if the store
	// may have come back from a copy that lacks some.
	Versions     Versions
	ReadVersions bool
	Complete     bool
	// Unasked is set if other nodes may know more, but could not be asked.
	Unasked bool
}

// Decide returns where a stream began if that is certain.
func (e *Evidence) Decide() (o Origin, v Verdict) {
	software, sole := e.Versions.Sole()
	switch {
	case e.Record != nil:
		return e.Record.Origin, GoesOn
	case sole && e.Complete && e.ReadVersions && e.Service != "":
		return Origin{Service: e.Service, Software: software}, GoesOn
	case e.Unasked:
		return o, Unreachable
	default:
		return o, Unknown
	}
}
