// Package tablestore has the clients of the platform services: the transactional
// table service, the object store and the list of VMs.
package tablestore
