// Package engine implements the client side of the model engines' protocol: HTTP
// with JSON bodies, and one JSON object per line for token streams.
//
//	POST /v1/generate   GenerateRequest; the response is a stream of Chunk
//	POST /v1/cancel     CancelRequest
//	POST /v1/orders     Order; status 409 when the engine checks fencing tokens
//	                    and has received a higher one
//	GET  /v1/load       the response is Load
//	POST /v1/kv/export  KVRequest; the response is KV
//	POST /v1/kv/import  KV
//
// Every request carries X-Request-Id, and the response echoes it.
package engine
