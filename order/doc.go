// Package order brings the numbers of running endpoints to the desired counts.
// It sends orders to a receiver that starts and stops endpoints, and tolerates
// lost responses and changes of the holder of the duty that sends them.
//
// Machine is a pure state machine for the sets of endpoints of one data
// centre. Orders are level-triggered: each states the count that a set should
// have. For each order
//
//  1. the intent, which is the order to be sent, is written to its row, in a
//     transaction that fails unless the writer's epoch is still current,
//  2. the order is sent under the intent's ID,
//  3. the intent is recorded as done.
//
// A new holder of the duty reads the rows first and continues open intents
// under their existing IDs. An order whose outcome is unknown is resolved by an
// observation that was started after the order: if the observed count equals
// the ordered count, the order was accepted; otherwise the order is sent again
// with the same ID. Receivers may ignore epochs, so counts are compared again
// after an order was accepted. If they stay different, a new order with a new
// ID is sent.
//
// A missing observation is not evidence of anything; in particular it does not
// mean that there are no endpoints. Times are the boot time of the computer
// that runs the Machine.
package order
