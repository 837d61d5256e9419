// Package quota divides a rate that holds for all nodes together.
//
// For each subject one node, its owner, gives a grant to send; the others ask it. What an owner
// gives adds up over all nodes whatever they believe of each other, is used by whoever has
// something to send, and can be as little as one in some seconds, of which no node could have
// a part of its own.
//
// The load pattern that this answers is a service under its usual load or a burst of which
// one replica names a small rate, which may change from one answer to the next. Each node
// keeping a part of the rate for itself, as is done where nodes must not wait for each other,
// would leave most of it unused in a large fleet: few nodes get one request in 4 s that is
// best sent there.
package quota
