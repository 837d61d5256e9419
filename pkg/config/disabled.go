package config

import "reflect"

// DisabledMechanisms switches mechanisms of a gateway's decisions off, one by one, to
// measure what each is worth; what takes a mechanism's place is plain and keeps all
// rules. With none named everything is on, as a node in service is meant to be.
type DisabledMechanisms struct {
	// Home is that a prompt's shared parts belong to one replica, the same for all nodes.
	Home bool `json:"home"`
	// Held is that engines' own events tell what each holds.
	Held bool `json:"held"`
	// StoreFetches is that parts are fetched from stores of kept state.
	StoreFetches bool `json:"store_fetches"`
	// EngineFetches is that parts are fetched from other engines.
	EngineFetches bool `json:"engine_fetches"`
	// Saves is that parts that were read are saved at stores.
	Saves bool `json:"saves"`
	// HallLoads is that nodes of a data hall tell each other what they have in flight.
	HallLoads bool `json:"hall_loads"`
	// FarLoads is that data halls tell each other that.
	FarLoads bool `json:"far_loads"`
	// Choices is that a few replicas are weighed, drawn at random, and not all.
	Choices bool `json:"choices"`
	// Memory is that what prompts hold of engines' memory counts in placement.
	Memory bool `json:"memory"`
	// PromptQueue is that prompts wait at the nodes until an engine has room.
	PromptQueue bool `json:"prompt_queue"`
	// Lateness is that a replica's late answers count against it.
	Lateness bool `json:"lateness"`
	// Overdue is that an answer that is overdue counts against its replica.
	Overdue bool `json:"overdue"`
	// Ejection is that replicas that fail or can't be reached are passed over.
	Ejection bool `json:"ejection"`
	// Avoidance is that a replica that has refused is passed over for a moment.
	Avoidance bool `json:"avoidance"`
	// Steering is that replicas are passed over shortly before their weights are replaced.
	Steering bool `json:"steering"`
	// SwapBound is that only a part of the replicas gets new weights at a time.
	SwapBound bool `json:"swap_bound"`
	// SharedReading is that some nodes read the platform's store for others.
	SharedReading bool `json:"shared_reading"`
	// Resting is that connections to replicas are kept for further requests.
	Resting bool `json:"resting"`
}

// Names lists the settings' names of all mechanisms that are off, in order.
func (w DisabledMechanisms) Names() (off []string) {
	v := reflect.ValueOf(w)
	for i := range v.NumField() {
		if v.Field(i).Bool() {
			off = append(off, v.Type().Field(i).Tag.Get("json"))
		}
	}
	return off
}
