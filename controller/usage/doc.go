// Package usage counts the usage of teams and reports it by window.
//
// The request path counts usage in a Counter. Every instance writes its totals to
// the platform's table once per flush period (window.Tally). If an instance
// crashes, the usage that it has not written is lost. The holder of the duty
// "usage" closes, freezes and reports the windows (window.Sealer).
package usage
