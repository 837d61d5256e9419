package upstream

// OrderAction is what an order instructs an engine to do.
type OrderAction string

// Order actions.
const (
	OrderLoad  OrderAction = "load"
	OrderDrain OrderAction = "drain"
)

// Order changes what an engine serves. Engines that check fences refuse an
// order whose (epoch, sequence) is not higher than that of the last one.
type Order struct {
	Epoch   uint64      `json:"epoch"`
	Seq     uint64      `json:"seq"`
	Action  OrderAction `json:"action"`
	Model   string      `json:"model,omitempty"`
	Weights string      `json:"weights,omitempty"`
}

// EngineState is what an engine currently serves. It is read to verify orders.
type EngineState struct {
	Model   string `json:"model"`
	Weights string `json:"weights"`
	Loading bool   `json:"loading"`
	Epoch   uint64 `json:"epoch"`
	Seq     uint64 `json:"seq"`
}
