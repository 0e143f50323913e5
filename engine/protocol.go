package engine

// RequestIDHeader carries a request's ID to an endpoint, which echoes it.
const RequestIDHeader = "X-Request-Id"

// NotRunHeader is "true" in a refusal (status 503 or 429) if the endpoint
// guarantees that it did no work on the request. A refusal without the header
// gives no such guarantee.
const NotRunHeader = "X-Request-Not-Run"

// CachedPromptBytesHeader contains, in the response to a generate request, the
// number of bytes of the prompt that the engine had in its prefix cache.
// Engines that do not have this number omit the header.
const CachedPromptBytesHeader = "X-Cached-Prompt-Bytes"

// GenerateRequest requests the generation of tokens.
type GenerateRequest struct {
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Seed      uint64 `json:"seed"`
	// Priority orders waiting requests; higher runs first.
	Priority int `json:"priority,omitempty"`
	// Resume contains tokens that another engine has already produced. The
	// stream continues after them.
	Resume []int32 `json:"resume,omitempty"`
	// KVHandle is the handle of an imported KV cache to continue from.
	KVHandle string `json:"kv_handle,omitempty"`
	Adapter  string `json:"adapter,omitempty"`
}

// Chunk is one line of a token stream.
type Chunk struct {
	// Index is the position of the chunk's first token in the complete sample,
	// including resumed tokens.
	Index  int     `json:"index"`
	Tokens []int32 `json:"tokens,omitempty"`
	// WeightVersion is the weight version that produced the tokens. Zero means
	// that the engine does not report it.
	WeightVersion uint64 `json:"weight_version"`
	// Done marks the last chunk; a stream that ends without it is truncated.
	Done bool `json:"done,omitempty"`
	// FinishReason is "stop", "length" or "cancelled" in the last chunk.
	FinishReason string `json:"finish_reason,omitempty"`
}

// CancelRequest stops a running or waiting request.
type CancelRequest struct {
	RequestID string `json:"request_id"`
}

// OrderKind is the kind of an Order.
type OrderKind string

// The kinds of Order.
const (
	// OrderLoad makes the engine load the weights of Version and serve them.
	OrderLoad OrderKind = "load"
	// OrderDrain makes the engine refuse new requests.
	OrderDrain OrderKind = "drain"
	// OrderRole changes the engine's role.
	OrderRole OrderKind = "role"
)

// Order sets the desired state of an engine. It is level-triggered: sending it
// again has no further effect.
type Order struct {
	// ID stays the same when the order is sent again.
	ID      string    `json:"id"`
	Kind    OrderKind `json:"kind"`
	Version uint64    `json:"version,omitempty"`
	Role    string    `json:"role,omitempty"`
	// Epoch is the fencing token: an engine that checks it refuses an order
	// with a lower epoch than it has received before.
	Epoch uint64 `json:"epoch"`
}

// Load is an engine's report of its own load and state. It may be out of date.
type Load struct {
	Running       int    `json:"running"`
	Waiting       int    `json:"waiting"`
	MaxRunning    int    `json:"max_running"`
	WeightVersion uint64 `json:"weight_version"`
	Loading       bool   `json:"loading"`
	Draining      bool   `json:"draining"`
	Role          string `json:"role,omitempty"`
}

// KVRequest requests the KV cache of a request.
type KVRequest struct {
	RequestID string `json:"request_id"`
}

// KV is an exported KV cache and the tokens that it covers.
type KV struct {
	Handle        string  `json:"handle"`
	Prompt        string  `json:"prompt"`
	Tokens        []int32 `json:"tokens"`
	WeightVersion uint64  `json:"weight_version"`
	Data          []byte  `json:"data"`
}
