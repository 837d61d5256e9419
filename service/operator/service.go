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
	changeTimeout = 10 * time.Second
	inForceWait   = 20 * time.Second
	inForcePause  = 100 * time.Millisecond
)

// directory is what this package needs of the directory of kept state.
type directory interface {
	Lookup(ctx context.Context, marks []prompt.Mark) prompt.Match
}

// configLog is what this package needs of the configuration log.
type configLog interface {
	State() *config.State
	Propose(ctx context.Context, cmd config.Command, ifVersion uint64) (uint64, error)
	Recent(limit int) []control.Entry
}

// peers asks other nodes.
type peers interface {
	// Rows returns a node's own rows of a table.
	Rows(ctx context.Context, m control.Member, table string) (lang.Table, error)
	// Version returns a node's configuration version.
	Version(ctx context.Context, m control.Member) (uint64, error)
}

// local is what only this node knows.
type local interface {
	// Rows returns this node's own rows of a table; ok is false if there is no
	// such table.
	Rows(table string) (t lang.Table, ok bool)
}

// Service carries out operators' scripts.
type Service struct {
	Settings  config.Settings
	Log       configLog
	Members   *control.Members
	Directory directory
	Policy    route.Policy
	Fleet     *route.Fleet
	Peers     peers
	Local     local
}

// Run carries out a script up to its first error.
func (s *Service) Run(ctx context.Context, req RunRequest) (a RunAnswer, err error) {
	script, err := lang.Parse(req.Text)
	if err != nil {
		return RunAnswer{Results: []Result{{Error: operatorError(err)}}}, nil
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
			return Result{Error: operatorError(err)}
		}
		return Result{Table: &t}
	default:
		t, err := s.explain(ctx, st.Explain)
		if err != nil {
			return Result{Error: operatorError(err)}
		}
		return Result{Table: &t}
	}
}

func (s *Service) change(ctx context.Context, c *lang.Change) Result {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout+inForceWait)
	defer cancel()
	proposeCtx, stop := context.WithTimeout(ctx, changeTimeout)
	defer stop()
	var ifVersion uint64
	if c.IfVersion != nil {
		ifVersion = *c.IfVersion
	}
	version, err := s.Log.Propose(proposeCtx, c.Command(), ifVersion)
	if err != nil {
		return Result{Error: operatorError(err)}
	}
	r := Result{Version: version}
	if c.Wait {
		r.InForce = s.waitInForce(ctx, version)
	}
	return r
}

// waitInForce waits until every working node has a version.
func (s *Service) waitInForce(ctx context.Context, version uint64) bool {
	behind := s.Members.Working()
	for len(behind) > 0 {
		var still []control.Member
		for _, m := range behind {
			have, err := s.Peers.Version(ctx, m)
			if err != nil || have < version {
				still = append(still, m)
			}
		}
		behind = still
		if len(behind) == 0 {
			break
		}
		select {
		case <-ctx.Done():
			return false
		case <-time.After(inForcePause):
		}
	}
	return true
}

// operatorError sorts an error into the kinds that operators are told.
func operatorError(err error) *Error {
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
