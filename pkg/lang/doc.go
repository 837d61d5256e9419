// Package lang implements the query and command language for operators: the
// grammar, syntax errors with their position, and the evaluation of queries over
// tables.
package lang
