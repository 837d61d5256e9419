// Package origin decides at which version of a service's software a stream may go on after it broke off.
//
// What two versions write does not fit together, so a stream goes on only at the version that began it,
// and only if that is certain. There are two ways to know it:
//
//   - A node that passes on the first event of a stream records its origin under the client's attempt,
//     and replicates it to other nodes. Records never change, so an old one is as good as a new one.
//   - The platform's store lists the versions of each service, and no node begins a stream at a version
//     before it knows that it is listed there. So if the list has one version when a client takes a
//     stream up, the stream began at that one, and no record is needed.
//
// The package makes no calls. Its users pass the messages of other nodes, the rows of the store and the
// time.
package origin
