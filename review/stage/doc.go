// Command stage plays the cases review/14 and later. It starts instances of the
// daemon as separate processes, with settings rendered from deploy/settings.jsonc, and
// plays the rest itself on loopback addresses: the platform's store, replicas, clients
// and trainers. They behave as the users' pages describe them. It exits with 1 if the
// case's rule was broken, 0 if it held, and 2 if the case could not run.
package main
