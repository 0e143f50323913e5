// Package membership runs the gossip exchanges between instances and publishes
// the list of live instances. The protocol itself is in package gossip.
//
// In an exchange, an instance sends a request to a peer and receives a response.
// In addition to the gossip message, both carry the payloads of other
// controllers; each of these implements PayloadHandler. Every exchange has a
// deadline. A failed exchange is retried once over HTTP/1.1 on a new connection,
// because an open connection can become unresponsive for good while new ones work.
package membership
