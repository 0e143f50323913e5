// Package speed estimates how fast the endpoints of a service are, relative to the
// median of the service's endpoints.
//
// An Estimator is fed with observations of this instance's own work, and with the
// reports of other instances. It groups the observations of an endpoint into
// periods and uses the median of the last ones, so that noise in less than half of
// them changes little. It takes into account that an endpoint is slower
// while it processes more work at once: the effect is estimated from the
// differences between observations of the same endpoint. Estimates fade to 1 when
// nothing confirms them, and are forgotten when an endpoint restarts.
//
// The package is pure: it starts no goroutines, reads no clock and does no I/O.
package speed
