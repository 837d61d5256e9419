package route

import "github.com/drumpath/drumpath/pkg/rendezvous"

// NameHash stands for a replica's ID or start key, or a store's name, in messages that
// nodes exchange at a high rate. It has four bytes of the name's hash. The chance that two
// of 2,300 replicas have the same one is 0.06 %; each of them is then counted with the
// other's load.
type NameHash uint32

// HashName returns the hash of an ID or a name.
func HashName(name string) NameHash { return nameHashOf(rendezvous.Hash(name)) }

func nameHashOf(hash uint64) NameHash { return NameHash(hash) }
