// Package load generates an open-loop load with recurring prompts on a running
// system and reports the results as clients see them.
package load
