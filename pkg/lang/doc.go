// Package lang is the query and command language for operators: its grammar,
// its errors with position, and the evaluation of queries over tables.
package lang
