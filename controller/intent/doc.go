// Package intent follows what the operators and trainers of a managed platform
// want, and which endpoints registered themselves, and puts both into the
// snapshot.
//
// The platform's store alone confirms a change, so only a read of the store
// tells whether this instance is current. A read counts from the moment at
// which it was started.
package intent
