// Command cumincovectl is the operators' command-line tool: it changes the
// configuration of a cumincove system and shows its state. Package internal/ctl
// implements the commands.
package main

import (
	"log/slog"
	"net"
	"os"

	"github.com/cumincove/cumincove/attempt"
	"github.com/cumincove/cumincove/infra"
	"github.com/cumincove/cumincove/internal/ctl"
	"github.com/cumincove/cumincove/platform"
	"github.com/cumincove/cumincove/settings"
	"github.com/uber-go/tally/v4"
)

func main() {
	os.Exit(ctl.Run(os.Args[1:], ctl.Env{
		Stdin:  os.Stdin,
		Stdout: os.Stdout,
		Stderr: os.Stderr,
		Getenv: os.Getenv,

		NewManaged: managed,
	}))
}

// managed returns a client of the managed platform that the settings name. It
// discards logs and metrics.
func managed(s settings.Settings) infra.Managed {
	return platform.New(platform.Options{
		StoreURL:            s.Platform.URL,
		DutiesURL:           s.Platform.DutiesURL,
		StoreCallsPerSecond: s.Limits.StoreCalls,
		Dial:                new(net.Dialer).DialContext,
		Pool:                attempt.NewPool(attempt.DefaultOptions()),
		Log:                 slog.New(slog.DiscardHandler),
		Scope:               tally.NoopScope,
	})
}
