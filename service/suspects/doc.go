// Package suspects shares among all nodes under which requests replicas ended. Nodes send
// each other what they have seen, and store blocked requests in the platform's store.
// Package suspect decides how requests are treated.
package suspects
