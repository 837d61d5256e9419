package events

// Class decides which lines are dropped first when there are too many.
type Class int

// Classes of lines.
const (
	// Routine lines report requests that succeeded; they are rate limited.
	Routine Class = iota
	// Change lines report changes of the process's state, and its work other than requests.
	Change
	// Failure lines report refused and failed requests and unavailable dependencies.
	Failure
)

var classNames = [...]string{"routine", "change", "failure"}

// String returns the class's name in the catalogue page and in "log lines dropped".
func (c Class) String() string { return classNames[c] }

// Event declares one kind of line.
type Event struct {
	Name  string // The line's msg.
	Class Class
	Doc   string
	Keys  []Key
}

// Key declares one attribute of a line.
type Key struct {
	Name string
	Doc  string
}
