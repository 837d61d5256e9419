package events

// Class says what is left out first when there is too much to log.
type Class int

// Classes of lines.
const (
	// Routine lines tell of requests that went well; they are sampled first.
	Routine Class = iota
	// Change lines tell of what the process believes or does beside requests.
	Change
	// Failure lines tell of refused and failed requests and of lost dependencies.
	Failure
)

var classNames = [...]string{"routine", "change", "failure"}

// String names the class.
func (c Class) String() string { return classNames[c] }

// Event declares one kind of line.
type Event struct {
	Name  string // The line's message.
	Class Class
	Doc   string
	Keys  []Key
}

// Key declares one value of a line.
type Key struct {
	Name string
	Doc  string
}
