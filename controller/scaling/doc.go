// Package scaling keeps the number of endpoints on a managed platform at the
// desired counts.
//
// The desired counts of a service and data centre are stored in a row, which the
// first holder of the duty "orders" writes: the number of endpoints at full price
// that it finds, and cheap ones up to the bound. Cheap endpoints can be
// reclaimed at any time, but cost little, and their samples continue at other
// endpoints. Later holders of the duty use the counts in the row.
//
// Orders are level-triggered: an order is sent when a count is below the desired
// one, and is repeated only after the endpoints had time to start.
package scaling
