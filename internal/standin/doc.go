// Package standin implements small stand-ins for the systems around drumpath:
// model engines, stores of KV cache blocks, plain services, the table service,
// the object store and the list of VMs. They model only what drumpath's
// decisions depend on, such as limited memory, slots and link rates. POST /fault sets their faults.
package standin
