// Package models moves engines to the named weight versions of their models. The
// named version of a model is the version that its trainers request.
//
// Every engine has weights of all models, each at its own version. A load takes
// time and drops the engine's caches. Plan therefore assigns each model a share
// of the engines, which follow its versions, and moves as few engines as it can
// from one model to another. The holder of the duty "weights" sends the orders.
//
// An order contains the lease's epoch, the engine's name and the number of orders
// that the engine had accepted, so that a delayed order is not executed after a
// newer one.
package models
