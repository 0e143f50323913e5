// Package scaling keeps the endpoints of a managed platform at their wanted
// counts.
//
// The wanted counts of a service and data centre stand in a row, which the
// first holder of the duty "orders" writes: the endpoints at full price that it
// finds, and cheap ones up to the bound, since engines that may be reclaimed
// cost little and samples go on elsewhere. Later holders keep to it. Orders are
// level-triggered: one is given when a count is short of the wanted one, and
// again only after the endpoints had time to start.
package scaling
