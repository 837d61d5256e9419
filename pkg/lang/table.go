package lang

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// Table is the answer to a query, or what a query is asked of.
type Table struct {
	Columns []string   `json:"columns"`
	Rows    [][]string `json:"rows"`
}

// QueryError says what is wrong with a query that could be parsed.
type QueryError struct{ Message string }

// Error gives the message.
func (e *QueryError) Error() string { return e.Message }

// Run evaluates a query over a table; the error is a *QueryError.
func (s *Show) Run(t Table) (Table, error) {
	rows := t.Rows
	for _, c := range s.Where {
		i, err := t.column(c.Column)
		if err != nil {
			return Table{}, err
		}
		rows = slices.DeleteFunc(slices.Clone(rows), func(row []string) bool { return !c.holds(row[i]) })
	}
	if s.OrderBy != "" {
		i, err := t.column(s.OrderBy)
		if err != nil {
			return Table{}, err
		}
		rows = slices.Clone(rows)
		slices.SortStableFunc(rows, func(a, b []string) int {
			if s.Desc {
				a, b = b, a
			}
			return compare(a[i], b[i])
		})
	}
	if s.Limit != nil {
		rows = rows[:min(len(rows), *s.Limit)]
	}
	return Table{Columns: t.Columns, Rows: rows}, nil
}

func (t Table) column(name string) (int, error) {
	for i, c := range t.Columns {
		if strings.EqualFold(c, name) {
			return i, nil
		}
	}
	return 0, &QueryError{Message: fmt.Sprintf("no column %q; there are %s", name, strings.Join(t.Columns, ", "))}
}

// holds says whether a cell meets the condition.
func (c *Condition) holds(cell string) bool {
	if strings.EqualFold(c.Op, "like") {
		return strings.Contains(cell, c.Value)
	}
	order := compare(cell, c.Value)
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

// compare orders numbers by value and everything else as text.
func compare(a, b string) int {
	x, errX := strconv.ParseFloat(a, 64)
	y, errY := strconv.ParseFloat(b, 64)
	if errX == nil && errY == nil {
		return cmp.Compare(x, y)
	}
	return cmp.Compare(a, b)
}
