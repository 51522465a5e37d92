// Package metric holds the metrics of a daemon: OpenTelemetry instruments with a Prometheus endpoint.
//
// Every instrument is declared here, with its unit, so that docs/OPERATIONS.md lists all of them. Attributes are bounded
// by the configuration: service, rank and organisation, never an id of a request or a text of a caller.
package metric

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.opentelemetry.io/otel/attribute"
	export "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdk "go.opentelemetry.io/otel/sdk/metric"
)

// Set is the instruments of one daemon. Its methods may be called from several goroutines.
type Set struct {
	handler  http.Handler
	requests metric.Int64Counter
	first    metric.Float64Histogram
	total    metric.Float64Histogram
	tokens   metric.Int64Counter
	attempts metric.Int64Counter
	calls    metric.Int64Counter
	meter    metric.Meter
}

// New returns the instruments and a function that stops them.
func New() (*Set, func(), error) {
	reg := prometheus.NewRegistry()
	exporter, err := export.New(export.WithRegisterer(reg), export.WithoutScopeInfo())
	if err != nil {
		return nil, nil, fmt.Errorf("create metrics exporter: %w", err)
	}
	provider := sdk.NewMeterProvider(sdk.WithReader(exporter))
	m := provider.Meter("flamingorudder")
	s := &Set{handler: promhttp.HandlerFor(reg, promhttp.HandlerOpts{}), meter: m}
	bounds := metric.WithExplicitBucketBoundaries(0.01, 0.025, 0.05, 0.1, 0.2, 0.38, 0.5, 1, 2, 5, 10, 30, 60, 300, 600)
	var errs [6]error
	s.requests, errs[0] = m.Int64Counter("requests", metric.WithUnit("{request}"), metric.WithDescription("Requests answered, by outcome"))
	s.first, errs[1] = m.Float64Histogram("first_token", metric.WithUnit("s"), metric.WithDescription("Time from accepting a request to its first token"), bounds)
	s.total, errs[2] = m.Float64Histogram("request_duration", metric.WithUnit("s"), metric.WithDescription("Time from accepting a request to the end of its answer"), bounds)
	s.tokens, errs[3] = m.Int64Counter("tokens", metric.WithUnit("{token}"), metric.WithDescription("Tokens passed on to callers"))
	s.attempts, errs[4] = m.Int64Counter("attempts", metric.WithUnit("{attempt}"), metric.WithDescription("Attempts sent to backend servers"))
	s.calls, errs[5] = m.Int64Counter("store_calls", metric.WithUnit("{call}"), metric.WithDescription("Calls to the platform's store, by purpose and outcome"))
	for _, err := range errs {
		if err != nil {
			return nil, nil, fmt.Errorf("create instrument: %w", err)
		}
	}
	return s, func() { _ = provider.Shutdown(context.Background()) }, nil
}

// Handler serves the metrics in the Prometheus text format.
func (s *Set) Handler() http.Handler { return s.handler }

// Request is what is counted of one request.
type Request struct {
	Service, Org, Outcome, Rank string
	// First is zero when no token was sent.
	First, Total time.Duration
	Tokens       int
	Attempts     int
}

// Count adds a request that has been answered.
func (s *Set) Count(r Request) {
	ctx := context.Background()
	who := metric.WithAttributes(attribute.String("service", r.Service), attribute.String("rank", r.Rank), attribute.String("organisation", r.Org))
	s.requests.Add(ctx, 1, who, metric.WithAttributes(attribute.String("outcome", r.Outcome)))
	s.total.Record(ctx, r.Total.Seconds(), who)
	if r.First > 0 {
		s.first.Record(ctx, r.First.Seconds(), who)
	}
	s.tokens.Add(ctx, int64(r.Tokens), who)
	s.attempts.Add(ctx, int64(r.Attempts), who)
}

// Call adds a call to the platform's store.
func (s *Set) Call(purpose string, err error) {
	outcome := "done"
	if err != nil {
		outcome = "failed"
	}
	s.calls.Add(context.Background(), 1, metric.WithAttributes(attribute.String("purpose", purpose), attribute.String("outcome", outcome)))
}

// Gauge declares a value that is read when the metrics are asked for.
func (s *Set) Gauge(name, unit, description string, read func() int64) error {
	_, err := s.meter.Int64ObservableGauge(name, metric.WithUnit(unit), metric.WithDescription(description),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			o.Observe(read())
			return nil
		}))
	if err != nil {
		return fmt.Errorf("create gauge %s: %w", name, err)
	}
	return nil
}
