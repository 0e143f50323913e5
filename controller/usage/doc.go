// Package usage counts the usage of teams and reports it by window.
//
// The request path counts usage in a Counter. Every instance writes its totals to
// the platform's table once per flush period (window.Tally). If an instance
// crashes, the usage that it has not written is lost. The holder of the duty
// "usage" seals the windows (window.Sealer): it closes each one, after which no
// totals can be added to it, freezes the sum of its totals in a row, and reports
// it.
package usage
