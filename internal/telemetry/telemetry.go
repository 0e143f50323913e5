// Package telemetry sets up the metrics of an instance.
package telemetry

import (
	"io"
	"log/slog"
	"math"
	"net/http"
	"time"

	prom "github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
)

// reportPeriod is how often tally hands values to its reporter.
const reportPeriod = time.Second

// prefix starts the name of every metric.
const prefix = "cumincove"

// The buckets of latency histograms: two for each doubling, from a millisecond
// to two minutes, so that a figure is off by a factor of 1.2 at most.
const (
	firstBucket  = 0.001 // seconds
	bucketFactor = math.Sqrt2
	bucketCount  = 35
)

// New returns, with a registry of its own so that several instances fit into
// one process, the root scope of an instance, the handler that serves it in
// Prometheus' text format, and what to close at the end.
func New(instance string) (tally.Scope, http.Handler, io.Closer) {
	registry := prom.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector())
	registry.MustRegister(collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	reporter := prometheus.NewReporter(prometheus.Options{
		Registerer: registry,
		Gatherer:   registry,

		DefaultTimerType:        prometheus.HistogramTimerType,
		DefaultHistogramBuckets: prom.ExponentialBuckets(firstBucket, bucketFactor, bucketCount),
		OnRegisterError: func(err error) {
			slog.Error("metric not registered", "instance", instance, "error", err)
		},
	})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:          prefix,
		Tags:            map[string]string{"instance": instance},
		CachedReporter:  reporter,
		Separator:       prometheus.DefaultSeparator,
		SanitizeOptions: &prometheus.DefaultSanitizerOpts,
	}, reportPeriod)
	return scope, reporter.HTTPHandler(), closer
}
