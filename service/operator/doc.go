// Package operator is the interface for operators: it carries out scripts of the query
// and command language.
package operator
