// Package suspect decides which requests are no longer sent to replicas, because replicas
// have ended under them.
//
// The load that it answers is one request that ends each replica that begins to run it and
// that its caller sends again and again, at any node. A replica that ends takes all that it
// has in flight and all that it keeps with it, and is away for seconds; without a memory of
// the request itself every repeat costs another one.
//
// What speaks against a request is each replica that ended while it was in flight there.
// Many good requests are in flight wherever a replica ends, and one that is often asked is
// always among them. So a first end changes nothing; from the second on the request runs
// only once at a time among all nodes, which a good one gets over by being finished; and
// with the third it is sent no more. Whatever any replica has finished is not of that kind:
// runs that began before do not count any longer.
//
// Nothing here makes calls: what nodes tell each other is given to a Register, and so is
// the time.
package suspect
