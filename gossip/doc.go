// Package gossip disseminates small amounts of state between instances and
// detects which of them are alive.
//
// Each instance owns one Record: an address, an opaque state and a sequence
// number that increases with each change. Instances exchange Messages in pairs,
// a request and a reply. A request carries a digest of the sender's records and,
// at intervals, their complete version vector, so that the peer can reply with
// the records of which it has a newer version. Records that changed recently are
// sent although the peer has not requested them.
//
// If an exchange fails, the instance that started it suspects the peer. A
// suspicion names an incarnation and a sequence number, and is disseminated like
// a record. The suspect refutes it by increasing its sequence number. If it does
// not do so within a time limit, it is considered down. An instance that starts
// again has a higher incarnation. It is another member, even with the same name
// and address.
//
// A Broadcast is an urgent message. It is sent to all peers at once, up to the
// fanout, and each receiver forwards it the first time it receives it.
//
// Node has no goroutines, clock or I/O. All times are boot times of the calling
// instance. Options.MaxRecords bounds the number of records in a message, but a
// complete version vector has an entry for each instance.
package gossip
