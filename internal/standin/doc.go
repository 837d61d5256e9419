// Package standin has small stand-ins for what surrounds drumpath: model
// engines, stores of kept state, plain services, the table service, the object
// store and the list of VMs. They are honest where decisions depend on them,
// such as limited memory, slots and links, and simple elsewhere. Faults are
// switched over POST /fault.
package standin
