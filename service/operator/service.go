package operator

import (
	"context"
	"errors"
	"time"

	"github.com/drumpath/drumpath/pkg/config"
	"github.com/drumpath/drumpath/pkg/control"
	"github.com/drumpath/drumpath/pkg/lang"
	"github.com/drumpath/drumpath/pkg/prompt"
	"github.com/drumpath/drumpath/pkg/route"
	"github.com/drumpath/drumpath/pkg/tablestore"
)

const (
	changeTimeout       = 10 * time.Second
	inForceTimeout      = 20 * time.Second
	inForcePollInterval = 100 * time.Millisecond
)

// directory finds the KV caches of prompts.
type directory interface {
	Lookup(ctx context.Context, marks []prompt.Mark) prompt.Match
}

// configLog has the configuration and its latest changes, and proposes new ones.
type configLog interface {
	State() *config.State
	Propose(ctx context.Context, cmd config.Command, ifVersion uint64) (uint64, error)
	Recent(limit int) []control.Entry
}

// peerClient queries other nodes.
type peerClient interface {
	// Rows returns a node's own rows of a table.
	Rows(ctx context.Context, m control.Member, table string) (lang.Table, error)
	// Version returns a node's configuration version.
	Version(ctx context.Context, m control.Member) (uint64, error)
}

// localTables has this node's own rows of the tables that differ between nodes.
type localTables interface {
	// Rows returns this node's own rows of a table; ok is false if there is no
	// such table.
	Rows(table string) (t lang.Table, ok bool)
}

// Service runs operators' scripts.
type Service struct {
	Settings  config.Settings
	Log       configLog
	Members   *control.Members
	Directory directory
	Policy    route.Policy
	Fleet     *route.Fleet
	Peers     peerClient
	Local     localTables
}

// Run runs a script up to its first error.
func (s *Service) Run(ctx context.Context, req RunRequest) (a RunAnswer, err error) {
	script, err := lang.Parse(req.Text)
	if err != nil {
		return RunAnswer{Results: []Result{{Error: toOperatorError(err)}}}, nil
	}
	for _, st := range script.Statements {
		r := s.statement(ctx, st)
		a.Results = append(a.Results, r)
		if r.Error != nil {
			break
		}
	}
	return a, nil
}

func (s *Service) statement(ctx context.Context, st *lang.Statement) Result {
	switch {
	case st.Change != nil:
		return s.change(ctx, st.Change)
	case st.Show != nil:
		t, err := s.table(ctx, st.Show.Table)
		if err == nil {
			t, err = st.Show.Run(t)
		}
		if err != nil {
			return Result{Error: toOperatorError(err)}
		}
		return Result{Table: &t}
	default:
		t, err := s.explain(ctx, st.Explain)
		if err != nil {
			return Result{Error: toOperatorError(err)}
		}
		return Result{Table: &t}
	}
}

func (s *Service) change(ctx context.Context, c *lang.Change) Result {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout+inForceTimeout)
	defer cancel()
	proposeCtx, cancelPropose := context.WithTimeout(ctx, changeTimeout)
	defer cancelPropose()
	var ifVersion uint64
	if c.IfVersion != nil {
		ifVersion = *c.IfVersion
	}
	version, err := s.Log.Propose(proposeCtx, c.Command(), ifVersion)
	if err != nil {
		return Result{Error: toOperatorError(err)}
	}
	r := Result{Version: version}
	if c.Wait {
		r.InForce = s.waitInForce(ctx, version)
	}
	return r
}

// waitInForce waits until every working node has at least a configuration version.
func (s *Service) waitInForce(ctx context.Context, version uint64) bool {
	lagging := s.Members.Working()
	for len(lagging) > 0 {
		var stillLagging []control.Member
		for _, m := range lagging {
			have, err := s.Peers.Version(ctx, m)
			if err != nil || have < version {
				stillLagging = append(stillLagging, m)
			}
		}
		lagging = stillLagging
		if len(lagging) == 0 {
			break
		}
		select {
		case <-ctx.Done():
			return false
		case <-time.After(inForcePollInterval):
		}
	}
	return true
}

// toOperatorError converts an error to one with an ErrorKind.
func toOperatorError(err error) *Error {
	var syntax *lang.SyntaxError
	var query *lang.QueryError
	var command *config.CommandError
	var conflict *control.ConflictError
	var unknown *control.OutcomeUnknownError
	switch {
	case errors.As(err, &syntax):
		return &Error{Kind: ErrorSyntax, Message: syntax.Error()}
	case errors.As(err, &query):
		return &Error{Kind: ErrorQuery, Message: query.Error()}
	case errors.As(err, &command):
		return &Error{Kind: ErrorCommand, Message: command.Error()}
	case errors.As(err, &conflict):
		return &Error{Kind: ErrorConflict, Message: conflict.Error(), Winner: conflict.Winner}
	case errors.As(err, &unknown):
		return &Error{Kind: ErrorUnknown, Message: unknown.Error()}
	case errors.Is(err, tablestore.ErrNotApplied):
		return &Error{Kind: ErrorPlatform, Message: "the change was not applied: " + err.Error()}
	default:
		return &Error{Kind: ErrorPlatform, Message: err.Error()}
	}
}
