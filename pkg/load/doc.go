// Package load generates an open-loop load with recurring prompts on a running
// system and reports the results as its callers see them.
package load
