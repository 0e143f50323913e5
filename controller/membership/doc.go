// Package membership runs the gossip exchanges between instances and publishes
// the list of live instances. The protocol itself is in package gossip.
//
// In addition to the gossip message, an exchange carries the payloads of other
// controllers; each of these implements Rider. Every exchange has a deadline. A
// failed exchange is retried once over HTTP/1.1 on a new connection, because an
// open connection can become unresponsive for good while new ones work.
package membership
