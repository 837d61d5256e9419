package lang

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// Table is the input or the result of a query.
type Table struct {
	Columns []string   `json:"columns"`
	Rows    [][]string `json:"rows"`
}

// QueryError reports a query that is well-formed but cannot be evaluated.
type QueryError struct{ Message string }

// Error returns the message.
func (e *QueryError) Error() string { return e.Message }

// Run evaluates a query over a table; the error is a *QueryError.
func (s *Show) Run(t Table) (Table, error) {
	rows := t.Rows
	for _, c := range s.Where {
		i, err := t.columnIndex(c.Column)
		if err != nil {
			return Table{}, err
		}
		rows = slices.DeleteFunc(slices.Clone(rows), func(row []string) bool { return !c.matches(row[i]) })
	}
	if s.OrderBy != "" {
		i, err := t.columnIndex(s.OrderBy)
		if err != nil {
			return Table{}, err
		}
		rows = slices.Clone(rows)
		slices.SortStableFunc(rows, func(a, b []string) int {
			if s.Desc {
				a, b = b, a
			}
			return compareCells(a[i], b[i])
		})
	}
	if s.Limit != nil {
		rows = rows[:min(len(rows), *s.Limit)]
	}
	return Table{Columns: t.Columns, Rows: rows}, nil
}

func (t Table) columnIndex(name string) (int, error) {
	for i, c := range t.Columns {
		if strings.EqualFold(c, name) {
			return i, nil
		}
	}
	return 0, &QueryError{Message: fmt.Sprintf("no column %q; there are %s", name, strings.Join(t.Columns, ", "))}
}

// matches reports whether a cell satisfies the condition.
func (c *Condition) matches(cell string) bool {
	if strings.EqualFold(c.Op, "like") {
		return strings.Contains(cell, c.Value)
	}
	order := compareCells(cell, c.Value)
	switch c.Op {
	case "=":
		return order == 0
	case "!=":
		return order != 0
	case "<":
		return order < 0
	case "<=":
		return order <= 0
	case ">":
		return order > 0
	default:
		return order >= 0
	}
}

// compareCells compares two numbers by value and anything else as text.
func compareCells(a, b string) int {
	x, errX := strconv.ParseFloat(a, 64)
	y, errY := strconv.ParseFloat(b, 64)
	if errX == nil && errY == nil {
		return cmp.Compare(x, y)
	}
	return cmp.Compare(a, b)
}
