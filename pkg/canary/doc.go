// Package canary decides how the traffic of a service moves from the replicas of one software
// version to those of another, and whether the new version is good enough to go on. It does
// no I/O. (Package rollout is about the weights of models, which replicas load while they run.)
package canary
