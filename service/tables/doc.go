// Package tables keeps copies of the tables of the platform's store, and lets nodes read them through each
// other: a Follower applies the changes of one table, which it gets from a Reader. Package history decides which
// of two rows or listings is the later one.
package tables
