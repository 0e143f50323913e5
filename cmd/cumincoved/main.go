// Command cumincoved runs one instance of the rollout service.
package main

import (
	"context"
	"fmt"
	stdlog "log"
	"log/slog"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"strconv"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/cumincove/cumincove/attempt"
	"github.com/cumincove/cumincove/clock"
	"github.com/cumincove/cumincove/infra/httpapi"
	"github.com/cumincove/cumincove/internal/daemon"
	"github.com/cumincove/cumincove/internal/outbound"
	"github.com/cumincove/cumincove/internal/telemetry"
	"github.com/cumincove/cumincove/platform"
	"github.com/cumincove/cumincove/settings"
	"github.com/uber-go/tally/v4"
)

func main() {
	app := kingpin.New("cumincoved", "Runs one instance of the rollout service.")
	file := app.Flag("config", "Settings file, JSON with comments.").Short('c').Required().ExistingFile()
	descriptors := app.Flag("descriptors", "Replaces limits.descriptors of the settings file, unless it is empty.").String()
	run := app.Command("run", "Serve until SIGTERM, then shut down gracefully.").Default()
	check := app.Command("check", "Check the settings file and report every fault in it.")

	var err error
	switch kingpin.MustParse(app.Parse(os.Args[1:])) {
	case run.FullCommand():
		err = serve(source{*file, *descriptors})
	case check.FullCommand():
		_, err = source{*file, *descriptors}.load()
	}
	app.FatalIfError(err, "%s", *file)
}

// source is where the settings come from.
type source struct {
	file string
	// descriptors replaces limits.descriptors of the file unless it is empty.
	descriptors string
}

func (src source) load() (settings.Settings, error) {
	s, err := settings.Load(src.file)
	if err != nil || src.descriptors == "" {
		return s, err
	}
	n, err := strconv.ParseUint(src.descriptors, 10, 31)
	if err != nil {
		return s, fmt.Errorf("--descriptors: %w", err)
	}
	s.Limits.Descriptors = int(n)
	return s, nil
}

func serve(src source) error {
	s, err := src.load()
	if err != nil {
		return err
	}
	runtime.GOMAXPROCS(min(s.Limits.Processors, runtime.GOMAXPROCS(0)))
	if n := daemon.SoftMemoryLimit(s.Limits); n > 0 {
		debug.SetMemoryLimit(n)
	}
	scope, metrics, closer := telemetry.NewMetrics(s.Name)
	defer closer.Close()
	log, logCloser := telemetry.NewLog(os.Stdout, scope)
	defer logCloser.Close()
	log = log.With("instance", s.Name)
	quietLibraries(log)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	go checkSettingsOnHangup(ctx, notifyHangup(), src, s, log)
	run := runSelfManaged
	if s.Platform.Kind == settings.KindManaged {
		run = runManaged
	}
	if err := run(ctx, instanceDeps{s, log, scope, metrics}); err != nil {
		return fmt.Errorf("run instance %s: %w", s.Name, err)
	}
	return nil
}

// quietLibraries passes what libraries write to the standard logger to log, as debug lines.
// They quote what endpoints send, without a bound on the rate.
func quietLibraries(log *slog.Logger) {
	stdlog.SetFlags(0)
	stdlog.SetOutput(slog.NewLogLogger(log.Handler(), slog.LevelDebug).Writer())
}

// notifyHangup returns a channel that receives each SIGHUP until the process
// ends. The signal stays caught during a shutdown too, because the default action
// of SIGHUP would end the process.
func notifyHangup() chan os.Signal {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	return hangups
}

// checkSettingsOnHangup reads the settings file again at each SIGHUP and logs
// the result. Changed settings take effect at the next start.
func checkSettingsOnHangup(ctx context.Context, hangups chan os.Signal, src source, running settings.Settings, log *slog.Logger) {
	for {
		select {
		case <-hangups:
			s, err := src.load()
			if err != nil {
				log.Error("settings file is invalid", "file", src.file, "error", err)
				continue
			}
			log.Info("settings file read again", "file", src.file, "restart_needed", s != running)
		case <-ctx.Done():
			return
		}
	}
}

// instanceDeps holds the dependencies that runSelfManaged and runManaged share.
type instanceDeps struct {
	settings settings.Settings
	log      *slog.Logger
	scope    tally.Scope
	metrics  http.Handler
}

// runSelfManaged runs an instance that is configured through its own operators'
// interface.
func runSelfManaged(ctx context.Context, deps instanceDeps) error {
	s := deps.settings
	platformToken, err := settings.Secret(s.Platform.TokenEnv)
	if err != nil {
		return fmt.Errorf("platform.token_env: %w", err)
	}
	operatorToken, err := settings.Secret(s.Operators.TokenEnv)
	if err != nil {
		return fmt.Errorf("operators.token_env: %w", err)
	}
	certificates, err := daemon.LoadTLS(s.TLS, deps.log)
	if err != nil {
		return err
	}
	dial := (&net.Dialer{}).DialContext
	hc := outbound.Client(httpapi.NewTransport(dial))
	return daemon.New(daemon.Deps{
		Settings:      s,
		Platform:      httpapi.New(s.Platform.URL, hc, platformToken),
		Clock:         clock.Boot{},
		Log:           deps.log,
		Scope:         deps.scope,
		Metrics:       deps.metrics,
		Listen:        net.Listen,
		Dial:          dial,
		TLS:           certificates,
		OperatorToken: operatorToken,
	}).Run(ctx)
}

// runManaged runs an instance on a managed platform.
func runManaged(ctx context.Context, deps instanceDeps) error {
	s := deps.settings
	certificates, err := daemon.LoadTLS(s.TLS, deps.log)
	if err != nil {
		return err
	}
	dial := (&net.Dialer{}).DialContext
	opt := attempt.DefaultOptions()
	opt.Dialect = platform.Dialect()
	pool := attempt.NewPool(opt)
	return daemon.NewManaged(daemon.ManagedDeps{
		Settings: s,
		Platform: platform.New(platform.Options{
			StoreURL:            s.Platform.URL,
			DutiesURL:           s.Platform.DutiesURL,
			StoreCallsPerSecond: s.Limits.StoreCalls,
			UsageWindow:         time.Duration(s.Timing.UsageWindow),
			Dial:                dial,
			Pool:                pool,
			Log:                 deps.log,
			Scope:               deps.scope,
		}),
		Adapter: platform.Adapter{},
		Clock:   clock.Boot{},
		Log:     deps.log,
		Scope:   deps.scope,
		Metrics: deps.metrics,
		Network: daemon.Network{Listen: net.Listen, Dial: dial},
		Pool:    pool,
		TLS:     certificates,
	}).Run(ctx)
}
