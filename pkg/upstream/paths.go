package upstream

// Paths of engines.
const (
	PathRun         = "/v1/completions"
	PathLoad        = "/v1/load"
	PathCacheEvents = "/v1/kv/events"
	PathCacheBlocks = "/v1/kv/blocks"
	PathExport      = "/v1/kv/export"
	PathImport      = "/v1/kv/import"
	PathOrders      = "/v1/orders"
)

// Paths of stores.
const (
	PathStoreList  = "/v1/objects"
	PathStoreLoad  = "/v1/load"
	PathStoreBegin = "/v1/objects/begin"
	PathStorePut   = "/v1/objects/put"
	PathStoreSeal  = "/v1/objects/seal"
	PathStorePin   = "/v1/objects/pin"
	PathStoreUnpin = "/v1/objects/unpin"
	PathStoreGet   = "/v1/objects/get"
	PathStoreFree  = "/v1/objects/free"
)

// HeaderRequestID carries the request id in requests and in answers.
const HeaderRequestID = "X-Request-Id"

// HeaderLoad carries an engine's load report, as JSON, with each answer.
const HeaderLoad = "X-Load"
