// Package suspect decides which requests are no longer sent to replicas because replicas
// ended while they ran them.
//
// It protects against a request that crashes each replica that runs it, and that its client
// repeats at any node. A replica that ends loses all requests in flight and all that it has
// cached, and is away for seconds. Unless nodes remember the request itself, each repeat
// costs another replica.
//
// The evidence against a request is the number of replicas that ended while it was in
// flight there. Whenever a replica ends, many harmless requests are in flight, and a
// frequent one is always among them. So the first end changes nothing. From the second on
// the request runs only once at a time among all nodes; a harmless one is cleared when it
// finishes. From the third on it is not sent any more. A request that any replica has
// finished is considered harmless: runs that began before don't count.
//
// The package makes no calls. Its users pass the messages of other nodes and the time to a
// Register.
package suspect
