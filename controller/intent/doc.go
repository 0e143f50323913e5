// Package intent follows the intent of the operators and trainers of a managed
// platform, and the list of registered endpoints, and puts both into the
// snapshot.
//
// Only the platform's store confirms a change, so an instance must read the
// store to determine whether its configuration is current. A read is valid from
// the time at which it was started.
package intent
