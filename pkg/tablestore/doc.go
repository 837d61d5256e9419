// Package tablestore has the clients of what the platform gives: the
// transactional table service, the object store and the list of VMs.
package tablestore
