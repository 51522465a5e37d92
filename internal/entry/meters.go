package entry

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

// meters is the instruments of a daemon. Attributes are bounded by the configuration: a route's name, a kind of outcome.
type meters struct {
	registry *prometheus.Registry
	requests metric.Int64Counter
	first    metric.Float64Histogram
	repeats  metric.Int64Counter
}

// newMeters returns the instruments and a function that stops them.
func newMeters(d *Daemon) (*meters, func(), error) {
	reg := prometheus.NewRegistry()
	exporter, err := export.New(export.WithRegisterer(reg), export.WithoutScopeInfo())
	if err != nil {
		return nil, nil, fmt.Errorf("create metrics exporter: %w", err)
	}
	provider := sdk.NewMeterProvider(sdk.WithReader(exporter))
	m := provider.Meter("flamingorudder")
	out := &meters{registry: reg}
	var errs [6]error
	out.requests, errs[0] = m.Int64Counter("entry_requests", metric.WithUnit("{request}"), metric.WithDescription("Requests answered, by service and outcome"))
	out.first, errs[1] = m.Float64Histogram("entry_first_event", metric.WithUnit("s"), metric.WithDescription("Time from a request to the first event or the answer"),
		metric.WithExplicitBucketBoundaries(0.05, 0.1, 0.15, 0.25, 0.38, 0.5, 1, 2, 4, 8))
	out.repeats, errs[2] = m.Int64Counter("entry_repeats", metric.WithUnit("{request}"), metric.WithDescription("Requests sent to a further backend server"))
	gauge := func(name, description string, read func() int64) error {
		_, err := m.Int64ObservableGauge(name, metric.WithDescription(description), metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			o.Observe(read())
			return nil
		}))
		return err
	}
	errs[3] = gauge("entry_in_flight", "Requests of callers under way", d.inFlight.Load)
	errs[4] = gauge("entry_config_version", "Version of the configuration in force", func() int64 {
		if c := d.config.Load(); c != nil {
			return c.Version
		}
		return 0
	})
	errs[5] = gauge("entry_daemons", "Other daemons heard of lately", func() int64 { return int64(len(d.live(time.Now()))) })
	for _, err := range errs {
		if err != nil {
			return nil, nil, fmt.Errorf("create instrument: %w", err)
		}
	}
	return out, func() { _ = provider.Shutdown(context.Background()) }, nil
}

func (m *meters) handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// count notes a request that has been answered. first is zero when it got no event and no answer.
func (m *meters) count(service, outcome string, first time.Duration) {
	ctx := context.Background()
	who := metric.WithAttributes(attribute.String("service", service), attribute.String("outcome", outcome))
	m.requests.Add(ctx, 1, who)
	if first > 0 {
		m.first.Record(ctx, first.Seconds(), metric.WithAttributes(attribute.String("service", service)))
	}
}
