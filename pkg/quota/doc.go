// Package quota enforces a rate limit that all nodes share.
//
// Each subject has one owner node that grants permission to send; the other nodes ask it.
// The owner's grants add up to the limit whichever nodes they consider alive, go to
// whichever node has something to send, and may be as rare as one every few seconds, which
// could not be divided among the nodes.
//
// The limit typically comes from one replica of a service, is small, and may change from one
// answer to the next. Giving each node a fixed share, which saves the call to the owner, would
// leave most of the rate unused in a large fleet: few nodes get a request every 4 s that is
// best sent to that replica.
package quota
