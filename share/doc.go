// Package share divides the streams at engines among steps in proportion to
// their need: the remaining work divided by the remaining time. With this rule a
// large step does not delay small ones, and small steps do not delay a large
// one.
//
// The result is a pure function of the needs that the steps report.
package share
