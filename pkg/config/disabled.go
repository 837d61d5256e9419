package config

import "reflect"

// DisabledMechanisms switches off mechanisms of a gateway's placement, one by one, to
// measure what each contributes. A simpler substitute that keeps all rules takes the place
// of one that is off. A node in production has none switched off.
type DisabledMechanisms struct {
	// PrefixAffinity prefers one replica for a prompt's shared parts, the same at all nodes.
	PrefixAffinity bool `json:"home"`
	// EngineCacheEvents learns what each engine caches from the engine's own events.
	EngineCacheEvents bool `json:"held"`
	// StoreFetches fetches cached parts from KV cache stores.
	StoreFetches bool `json:"store_fetches"`
	// EngineFetches fetches cached parts from other engines.
	EngineFetches bool `json:"engine_fetches"`
	// StoreSaves saves computed parts at KV cache stores.
	StoreSaves bool `json:"saves"`
	// HallLoadUpdates exchanges requests in flight between the nodes of a data hall.
	HallLoadUpdates bool `json:"hall_loads"`
	// InterHallLoadUpdates exchanges requests in flight between data halls.
	InterHallLoadUpdates bool `json:"far_loads"`
	// OwnHallFirst sends requests to other data halls only if the own one has no room or
	// they have more of the prompt cached.
	OwnHallFirst bool `json:"own_hall"`
	// StoreByHash saves a part of a prompt at a store selected by the part's hash, the same at
	// all nodes, instead of the store with the largest free share.
	StoreByHash bool `json:"store_by_hash"`
	// ReplicaSampling compares a few replicas drawn at random instead of all.
	ReplicaSampling bool `json:"choices"`
	// MemoryAwarePlacement counts the engine memory that prompts hold.
	MemoryAwarePlacement bool `json:"memory"`
	// MemoryWaitByBand counts only the memory of requests that are at least as urgent as
	// what a prompt waits for.
	MemoryWaitByBand bool `json:"memory_bands"`
	// PromptQueue queues prompts at the nodes until an engine has room.
	PromptQueue bool `json:"prompt_queue"`
	// ServiceWideShedding refuses prompts by the wait that all nodes' queues and engines
	// together mean for their priority.
	ServiceWideShedding bool `json:"service_shedding"`
	// LatenessPenalty ranks a replica lower for its late answers.
	LatenessPenalty bool `json:"lateness"`
	// OverduePenalty ranks a replica lower while an answer of it is overdue.
	OverduePenalty bool `json:"overdue"`
	// Ejection excludes replicas that fail or can't be reached.
	Ejection bool `json:"ejection"`
	// ReachabilityCheck ends requests in flight at replicas that can't be reached any more.
	ReachabilityCheck bool `json:"reachability"`
	// RefusalCooldown excludes a replica for a short time after it refused a request.
	RefusalCooldown bool `json:"avoidance"`
	// PreSwapAvoidance excludes replicas shortly before their weights are replaced.
	PreSwapAvoidance bool `json:"steering"`
	// ConcurrentSwapLimit replaces the weights of only some of the replicas at a time.
	ConcurrentSwapLimit bool `json:"swap_bound"`
	// SharedStoreReads lets some nodes read the platform's store for others.
	SharedStoreReads bool `json:"shared_reading"`
	// ConnectionReuse keeps connections to replicas open for further requests.
	ConnectionReuse bool `json:"resting"`
	// ResponseMemoryBound bounds the memory for responses that are not streamed.
	ResponseMemoryBound bool `json:"response_memory"`
	// Forwarding sends requests through other nodes while there is no path to their replicas.
	Forwarding bool `json:"forwarding"`
	// RunHandoff hands runs over to engines that prefill little.
	RunHandoff bool `json:"handoff"`
	// RunBackups keeps copies of runs at other engines while replicas are being lost.
	RunBackups bool `json:"backups"`
}

// Names lists the mechanisms that are switched off, by their names in the settings file.
func (d DisabledMechanisms) Names() (off []string) {
	v := reflect.ValueOf(d)
	for i := range v.NumField() {
		if v.Field(i).Bool() {
			off = append(off, v.Type().Field(i).Tag.Get("json"))
		}
	}
	return off
}
