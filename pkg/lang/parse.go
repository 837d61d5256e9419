package lang

import (
	"errors"
	"fmt"
	"strings"

	"github.com/alecthomas/participle/v2"

	"github.com/drumpath/drumpath/pkg/config"
)

// SyntaxError is the position of a syntax error and what was expected there.
type SyntaxError struct {
	Line    int    `json:"line"`
	Column  int    `json:"column"`
	Message string `json:"message"`
}

// Error returns position and message.
func (e *SyntaxError) Error() string {
	return fmt.Sprintf("line %d, column %d: %s", e.Line, e.Column, e.Message)
}

// Parse parses a script; the error is a *SyntaxError.
func Parse(text string) (s *Script, err error) {
	s, err = parser.ParseString("", text)
	var parseErr participle.Error
	if errors.As(err, &parseErr) {
		return nil, &SyntaxError{
			Line:    parseErr.Position().Line,
			Column:  parseErr.Position().Column,
			Message: parseErr.Message(),
		}
	}
	if err != nil {
		return nil, &SyntaxError{Line: 1, Column: 1, Message: err.Error()}
	}
	return s, nil
}

// Command returns the configuration command of a change.
func (c *Change) Command() config.Command {
	cmd := config.Command{
		Verb: config.Verb(strings.ToLower(c.Verb)),
		Kind: config.Kind(strings.ToLower(c.Kind)),
		Name: c.Name,
	}
	for _, f := range c.Fields {
		cmd.Fields = append(cmd.Fields, config.Field{Name: strings.ToLower(f.Name), Value: f.Value})
	}
	return cmd
}
