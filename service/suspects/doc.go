// Package suspects shares the evidence about requests that may crash replicas among all
// nodes. Nodes send each other which requests were in flight at replicas that ended, and
// store blocked requests in the platform's store. Package suspect decides how requests are
// treated.
package suspects
