// Package suspect decides which requests are no longer sent to replicas because replicas
// ended while they ran them.
//
// It protects against a request that crashes each replica that runs it, and that its client
// repeats at any node, and against a part of prompts that does so in whichever prompt it comes.
// A replica that ends loses all requests in flight and all that it has
// cached, and is away for seconds. Unless nodes remember the cause itself, each repeat
// costs another replica.
//
// A cause is a whole request, or a part of the prompts of one service. The evidence against it
// are the replicas that ended while it was in flight there; the evidence for it are the runs
// that replicas finished. Whenever a replica ends, many harmless requests are in flight, and
// what is frequent is always among them. So both are weighed by a sequential test (score.go).
//
// A whole request is judged by itself: from the second end on it runs only once at a time among all
// nodes, from the third on it is not sent any more, and a finish clears it. Parts are judged
// together, by the nodes that collect the evidence of their service, as each end accuses all
// parts in flight and one explains it (attribution.go).
//
// The package makes no calls. Its users pass the messages of other nodes and the time to a
// Register.
package suspect
