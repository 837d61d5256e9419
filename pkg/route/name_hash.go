package route

import "github.com/drumpath/drumpath/pkg/rendezvous"

// NameHash stands for a replica's ID, or a store's name, where nodes tell each other of many
// of them many times a second. It has four bytes of the name's hash: of 2,300 replicas
// two have the same with a chance of 0.06 %, and then count each other's load as theirs.
type NameHash uint32

// HashName returns the key of an ID or a name.
func HashName(name string) NameHash { return nameHashOf(rendezvous.Hash(name)) }

func nameHashOf(hash uint64) NameHash { return NameHash(hash) }
