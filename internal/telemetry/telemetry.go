// Package telemetry sets up the metrics and the log of an instance.
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

// reportPeriod is the period at which tally passes values to its reporter.
const reportPeriod = time.Second

// prefix starts the name of every metric.
const prefix = "cumincove"

// The buckets of latency histograms: two per doubling, from 1 ms to two minutes,
// so that the error of a value is at most a factor of 1.2.
const (
	firstBucket  = 0.001 // seconds
	bucketFactor = math.Sqrt2
	bucketCount  = 35
)

// NewMetrics returns the root scope of an instance, a handler that serves its
// metrics in the Prometheus text format, and a Closer that reports the
// remaining values. Each call creates its own registry, so that one process can
// run several instances.
func NewMetrics(instance string) (tally.Scope, http.Handler, io.Closer) {
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
