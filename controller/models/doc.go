// Package models moves engines to the named weight versions of the models that
// they hold.
//
// Every engine holds all models, each at a version of its own, and a load costs
// time and what the engine had cached. Plan therefore gives each model a share
// of the engines, which follow its versions, and moves as few engines as it can
// from one model to another. The holder of the duty "weights" gives the orders.
//
// An order carries the lease's epoch, the engine's name and the number of
// orders that the engine had accepted, so that a delayed one is not carried out
// after a newer one.
package models
