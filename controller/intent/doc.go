// Package intent reads what the operators and trainers of a managed platform
// request, and the list of registered endpoints, from the platform's store. The
// intent consists of the configuration and of the desired weight version of each
// model. The configuration and the endpoints are put into the snapshot of package
// view.
//
// Only the platform's store confirms a change, so an instance must read the
// store to determine whether its configuration is current. The age of a read is
// measured from the time at which it was started.
package intent
