package config

import (
	"fmt"
	"net/netip"
	"strconv"
)

// fieldKey is the only field whose value is secret.
const fieldKey = "key"

// Apply returns the state with the command applied and the version raised by one, or a
// *CommandError. The receiver is not changed.
func (s *State) Apply(cmd Command) (next *State, err error) {
	next = s.clone()
	next.Version++
	if reason := next.apply(cmd); reason != "" {
		return nil, &CommandError{Command: cmd, Reason: reason}
	}
	if cmd.Kind == KindUpstream {
		next.UpstreamsVersion = next.Version
	}
	if cmd.Kind == KindOrganisation || cmd.Kind == KindRule {
		next.Index()
	}
	return next, nil
}

// apply changes s in place. It returns "", or the reason why the command is refused.
func (s *State) apply(cmd Command) string {
	if cmd.Name == "" {
		return "a name is needed"
	}
	switch cmd.Kind {
	case KindOrganisation:
		return applyToTable(s.Organisations, cmd, Organisation{Name: cmd.Name, Share: 1}, s.setOrganisation, s.checkOrganisation)
	case KindModel:
		return applyToTable(s.Models, cmd, Model{Name: cmd.Name}, setModel, checkModel)
	case KindAdapter:
		return applyToTable(s.Adapters, cmd, Adapter{Name: cmd.Name}, setAdapter, s.checkAdapter)
	case KindRule:
		return applyToTable(s.Rules, cmd, Rule{Name: cmd.Name, Mode: ReuseOrganisation}, setRule, s.checkRule)
	case KindUpstream:
		return applyToTable(s.Upstreams, cmd, Upstream{Name: cmd.Name, Fenced: true}, setUpstream, s.checkUpstream)
	case KindNode:
		return s.applyNode(cmd)
	default:
		return fmt.Sprintf("unknown kind %q", cmd.Kind)
	}
}

// applyToTable applies a command to the objects of one kind. set writes a field, check
// validates the whole object; both return the reason for a refusal, or "".
func applyToTable[T any](
	table map[string]T,
	cmd Command,
	initial T,
	set func(*T, Field) string,
	check func(T) string,
) string {
	object, exists := table[cmd.Name]
	switch cmd.Verb {
	case VerbCreate:
		if exists {
			return "it exists already"
		}
		object = initial
	case VerbAlter, VerbDrop, VerbDrain, VerbRestore:
		if !exists {
			return "it does not exist"
		}
	default:
		return fmt.Sprintf("unknown verb %q", cmd.Verb)
	}
	switch cmd.Verb {
	case VerbDrop:
		delete(table, cmd.Name)
		return ""
	case VerbDrain, VerbRestore:
		u, ok := any(&object).(*Upstream)
		if !ok {
			return "only upstreams and nodes can be drained"
		}
		u.Drained = cmd.Verb == VerbDrain
	default:
		for _, f := range cmd.Fields {
			if reason := set(&object, f); reason != "" {
				return f.Name + ": " + reason
			}
		}
	}
	if reason := check(object); reason != "" {
		return reason
	}
	table[cmd.Name] = object
	return ""
}

func (s *State) applyNode(cmd Command) string {
	switch cmd.Verb {
	case VerbDrain, VerbRestore:
		s.Nodes[cmd.Name] = NodeObject{Name: cmd.Name, Drained: cmd.Verb == VerbDrain}
	case VerbDrop:
		delete(s.Nodes, cmd.Name)
	default:
		return "nodes come and go by themselves; they can be drained, restored or dropped"
	}
	return ""
}

const unknownField = "no such field"

func (s *State) setOrganisation(o *Organisation, f Field) string {
	switch f.Name {
	case fieldKey:
		o.KeyHash = HashKey(f.Value)
		if owner, taken := s.byKeyHash[o.KeyHash]; taken && owner != o.Name {
			return "another organisation has this key"
		}
	case "share":
		return parseNumber(f.Value, &o.Share)
	case "concurrency":
		return parseCount(f.Value, &o.Concurrency)
	case "tokens_per_second":
		return parseNumber(f.Value, &o.TokensPerSecond)
	default:
		return unknownField
	}
	return ""
}

func (s *State) checkOrganisation(o Organisation) string {
	if o.KeyHash == "" {
		return "key: a value is needed"
	}
	if o.Share <= 0 {
		return "share: more than 0 is needed"
	}
	return ""
}

func setModel(m *Model, f Field) string {
	if f.Name != "weights" {
		return unknownField
	}
	m.Weights = f.Value
	return ""
}

func checkModel(m Model) string {
	if m.Weights == "" {
		return "weights: a version is needed"
	}
	return ""
}

func setAdapter(a *Adapter, f Field) string {
	if f.Name != "model" {
		return unknownField
	}
	a.Model = f.Value
	return ""
}

func (s *State) checkAdapter(a Adapter) string {
	if _, ok := s.Models[a.Model]; !ok {
		return fmt.Sprintf("model: %q does not exist", a.Model)
	}
	return ""
}

func setRule(r *Rule, f Field) string {
	switch f.Name {
	case "organisation":
		r.Organisation = f.Value
	case "model":
		r.Model = f.Value
	case "mode":
		r.Mode = ReuseMode(f.Value)
	default:
		return unknownField
	}
	return ""
}

func (s *State) checkRule(r Rule) string {
	if _, ok := s.Organisations[r.Organisation]; !ok {
		return fmt.Sprintf("organisation: %q does not exist", r.Organisation)
	}
	if _, ok := s.Models[r.Model]; r.Model != "" && !ok {
		return fmt.Sprintf("model: %q does not exist", r.Model)
	}
	switch r.Mode {
	case ReuseOrganisation, ReuseLabel, ReuseNever:
		return ""
	default:
		return "mode: organisation, label or never is needed"
	}
}

func setUpstream(u *Upstream, f Field) string {
	switch f.Name {
	case "kind":
		u.Kind = UpstreamKind(f.Value)
	case "address":
		addr, err := netip.ParseAddrPort(f.Value)
		if err != nil {
			return "an IP number and port are needed"
		}
		u.Address = addr
	case "data_hall":
		u.DataHall = f.Value
	case "model":
		u.Model = f.Value
	case "path":
		u.Path = f.Value
	case "fenced":
		v, err := strconv.ParseBool(f.Value)
		if err != nil {
			return "true or false is needed"
		}
		u.Fenced = v
	default:
		return unknownField
	}
	return ""
}

func (s *State) checkUpstream(u Upstream) string {
	if !u.Address.IsValid() {
		return "address: a value is needed"
	}
	switch u.Kind {
	case UpstreamEngine:
		if _, ok := s.Models[u.Model]; !ok {
			return fmt.Sprintf("model: %q does not exist", u.Model)
		}
	case UpstreamStore:
	case UpstreamService:
		if u.Path == "" {
			return "path: a value is needed"
		}
	default:
		return "kind: engine, store or service is needed"
	}
	return ""
}

func parseNumber(text string, into *float64) string {
	v, err := strconv.ParseFloat(text, 64)
	if err != nil || v < 0 || v > maxNumber {
		return "a number from 0 is needed"
	}
	*into = v
	return ""
}

func parseCount(text string, into *int) string {
	v, err := strconv.Atoi(text)
	if err != nil || v < 0 {
		return "a whole number from 0 is needed"
	}
	*into = v
	return ""
}

const maxNumber = 1e12
