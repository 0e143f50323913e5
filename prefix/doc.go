// Package prefix tracks which prompt prefixes the engines are expected to have in
// their prefix caches, and finds the endpoints that have the longest prefix of a
// prompt.
//
// A prompt is split into blocks whose hashes are chained: the hash of a block
// identifies the prompt from its start up to the end of the block, as in the
// prefix caches of vLLM and SGLang. A Table maps these hashes to holders: the
// endpoints that are expected to have the block in their cache. It is updated
// from three sources:
//
//   - Sent: a prompt was sent to an endpoint, which will cache it.
//   - Observed: an endpoint answered and reported how much of the prompt was
//     cached. If that is less than expected, the endpoint has evicted blocks.
//     Engines evict the least recently used blocks first, so all holders of
//     this endpoint that were last used before are invalidated.
//   - Apply: events of an endpoint's cache, with sequence numbers. They may
//     arrive late, twice or out of order, or be lost. A gap in the numbers means
//     that events were lost. All holders of the endpoint are then invalidated,
//     and events are ignored until a reset with the complete content of the
//     cache arrives.
//
// Invalidation takes one atomic write, whatever the number of holders: each
// holder has a time, and each endpoint has a time up to which its holders are
// invalid.
//
// A Table has a fixed number of entries, and newer blocks replace older ones, so
// its memory is bounded for any number of endpoints and prompts. A lookup takes
// no lock and reads one entry for each block. All times are boot times of the
// calling instance.
package prefix
