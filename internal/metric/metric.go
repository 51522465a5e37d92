// Package metric implements the metrics of a daemon with OpenTelemetry instruments and a Prometheus endpoint.
//
// The counters and histograms are declared here with their units, so that docs/OPERATIONS.md can list all of them. To
// bound the cardinality, attribute values come from the configuration (service, rank and organisation) and never from
// request IDs or text sent by callers.
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

// Set holds the instruments of one daemon. It is safe for concurrent use.
type Set struct {
	handler            http.Handler
	requests           metric.Int64Counter
	firstToken         metric.Float64Histogram
	duration           metric.Float64Histogram
	tokens             metric.Int64Counter
	attempts           metric.Int64Counter
	storeCalls         metric.Int64Counter
	failures           metric.Int64Counter
	limited            metric.Int64Counter
	outdated           metric.Int64Counter
	withheld           metric.Int64Counter
	unknownEvacuations metric.Int64Counter
	cold               metric.Int64Counter
	memory             metric.Int64Counter
	invalid            metric.Int64Counter
	refusals           metric.Int64Counter
	homes              metric.Int64Counter
	unknownHomes       metric.Int64Counter
	meter              metric.Meter
}

// New creates the instruments and returns them with a function that shuts down their provider.
func New() (*Set, func(), error) {
	registry := prometheus.NewRegistry()
	exporter, err := export.New(export.WithRegisterer(registry), export.WithoutScopeInfo())
	if err != nil {
		return nil, nil, fmt.Errorf("create metrics exporter: %w", err)
	}
	provider := sdk.NewMeterProvider(sdk.WithReader(exporter))
	m := provider.Meter("flamingorudder")
	s := &Set{handler: promhttp.HandlerFor(registry, promhttp.HandlerOpts{}), meter: m}
	buckets := metric.WithExplicitBucketBoundaries(0.01, 0.025, 0.05, 0.1, 0.2, 0.38, 0.5, 1, 2, 5, 10, 30, 60, 300, 600)
	var errs [17]error
	s.requests, errs[0] = m.Int64Counter("requests", metric.WithUnit("{request}"), metric.WithDescription("Requests answered, by outcome"))
	s.firstToken, errs[1] = m.Float64Histogram("first_token", metric.WithUnit("s"), metric.WithDescription("Time from accepting a request to its first token"), buckets)
	s.duration, errs[2] = m.Float64Histogram("request_duration", metric.WithUnit("s"), metric.WithDescription("Time from accepting a request to the end of its answer"), buckets)
	s.tokens, errs[3] = m.Int64Counter("tokens", metric.WithUnit("{token}"), metric.WithDescription("Tokens passed on to callers"))
	s.attempts, errs[4] = m.Int64Counter("attempts", metric.WithUnit("{attempt}"), metric.WithDescription("Attempts sent to backend servers"))
	s.storeCalls, errs[5] = m.Int64Counter("store_calls", metric.WithUnit("{call}"), metric.WithDescription("Calls to the platform's store, by purpose and outcome"))
	s.failures, errs[6] = m.Int64Counter("failed_attempts", metric.WithUnit("{attempt}"), metric.WithDescription("Attempts at model groups that failed, by cause"))
	s.limited, errs[7] = m.Int64Counter("limited_attempts", metric.WithUnit("{attempt}"), metric.WithDescription("Attempts answered by backend servers that named a limit of requests"))
	s.outdated, errs[8] = m.Int64Counter("outdated_store_reads", metric.WithUnit("{read}"), metric.WithDescription("Reads of the platform's store, direct or through a peer, that were dropped because newer ones are known"))
	s.withheld, errs[9] = m.Int64Counter("withheld_attempts", metric.WithUnit("{attempt}"), metric.WithDescription("Attempts that were not sent because the data centre of the chosen backend server had been evacuated meanwhile"))
	s.unknownEvacuations, errs[10] = m.Int64Counter("unknown_evacuations", metric.WithUnit("{data_centre}"), metric.WithDescription("Evacuated data centres that have neither backend servers nor daemons"))
	s.cold, errs[11] = m.Int64Counter("cold_requests", metric.WithUnit("{request}"), metric.WithDescription("Requests that were held back or rejected while cold backend servers took no more, by outcome"))
	s.invalid, errs[12] = m.Int64Counter("invalid_values", metric.WithUnit("{value}"), metric.WithDescription("Values of the configuration, of entries, of answers and of digests that were ignored, by source"))
	s.refusals, errs[13] = m.Int64Counter("refused_clients", metric.WithUnit("{refusal}"), metric.WithDescription("Requests and connections of clients that were refused to bound memory and connections, by reason"))
	s.homes, errs[14] = m.Int64Counter("home_region_rejections", metric.WithUnit("{request}"), metric.WithDescription("Requests that were rejected, and attempts that were not sent, to keep requests in their home regions, by outcome"))
	s.unknownHomes, errs[15] = m.Int64Counter("unknown_home_regions", metric.WithUnit("{region}"), metric.WithDescription("Home regions of the configuration to which no known data centre belongs, once for each version"))
	s.memory, errs[16] = m.Int64Counter("memory_requests", metric.WithUnit("{request}"), metric.WithDescription("Requests that were held back or rejected as the memory of model groups had no room for them, by outcome"))
	for _, err := range errs {
		if err != nil {
			return nil, nil, fmt.Errorf("create instrument: %w", err)
		}
	}
	return s, func() { _ = provider.Shutdown(context.Background()) }, nil
}

// Handler serves the metrics in the Prometheus text format.
func (s *Set) Handler() http.Handler { return s.handler }

// Request holds the measurements of one request.
type Request struct {
	Service, Org, Outcome, Rank string
	// First is the time to the first token, or zero if no token was sent. Total is the time to the end of the response.
	First, Total time.Duration
	Tokens       int
	Attempts     int
}

// Count records a request that has been answered.
func (s *Set) Count(r Request) {
	ctx := context.Background()
	attributes := metric.WithAttributes(attribute.String("service", r.Service), attribute.String("rank", r.Rank), attribute.String("organisation", r.Org))
	s.requests.Add(ctx, 1, attributes, metric.WithAttributes(attribute.String("outcome", r.Outcome)))
	s.duration.Record(ctx, r.Total.Seconds(), attributes)
	if r.First > 0 {
		s.firstToken.Record(ctx, r.First.Seconds(), attributes)
	}
	s.tokens.Add(ctx, int64(r.Tokens), attributes)
	s.attempts.Add(ctx, int64(r.Attempts), attributes)
}

// RecordStoreCall records a call to the platform's store.
func (s *Set) RecordStoreCall(purpose string, err error) {
	outcome := "done"
	if err != nil {
		outcome = "failed"
	}
	s.storeCalls.Add(context.Background(), 1, metric.WithAttributes(attribute.String("purpose", purpose), attribute.String("outcome", outcome)))
}

// RecordFailedAttempt records an attempt at a model group of a service that failed.
func (s *Set) RecordFailedAttempt(service, cause string) {
	s.failures.Add(context.Background(), 1, metric.WithAttributes(attribute.String("service", service), attribute.String("cause", cause)))
}

// RecordLimitedAttempt records an attempt at a backend server of a service that named a limit of requests.
func (s *Set) RecordLimitedAttempt(service string) {
	s.limited.Add(context.Background(), 1, metric.WithAttributes(attribute.String("service", service)))
}

// RecordOutdatedRead records a read of the platform's store that was dropped because a newer one is known.
func (s *Set) RecordOutdatedRead() { s.outdated.Add(context.Background(), 1) }

// RecordWithheldAttempt records an attempt that was not sent because the data centre of its backend server is evacuated.
func (s *Set) RecordWithheldAttempt(service string) {
	s.withheld.Add(context.Background(), 1, metric.WithAttributes(attribute.String("service", service)))
}

// RecordUnknownEvacuation records an evacuated data centre that has neither backend servers nor daemons.
func (s *Set) RecordUnknownEvacuation() { s.unknownEvacuations.Add(context.Background(), 1) }

// Outcomes of requests that cold backend servers did not take at once.
const (
	ColdHeld     = "held"
	ColdRejected = "rejected"
)

// RecordCold records n requests to a service that cold backend servers did not take at once.
func (s *Set) RecordCold(service, outcome string, n int) {
	if n > 0 {
		s.cold.Add(context.Background(), int64(n), metric.WithAttributes(attribute.String("service", service), attribute.String("outcome", outcome)))
	}
}

// Outcomes of requests that were kept in their home regions.
const (
	HomeRejected = "rejected"
	HomeWithheld = "withheld"
)

// RecordHome records a request to a service that was rejected, or an attempt that was not sent, to keep it in its home regions.
func (s *Set) RecordHome(service, outcome string) {
	s.homes.Add(context.Background(), 1, metric.WithAttributes(attribute.String("service", service), attribute.String("outcome", outcome)))
}

// RecordUnknownHome records a home region to which no known data centre belongs.
func (s *Set) RecordUnknownHome() { s.unknownHomes.Add(context.Background(), 1) }

// Outcomes of requests that found no room in the memory of model groups.
const (
	MemoryHeld     = "held"
	MemoryRejected = "rejected"
	MemoryTooLarge = "too large"
)

// RecordMemory records n requests to a service that found no room in the memory of model groups at once.
func (s *Set) RecordMemory(service, outcome string, n int) {
	if n > 0 {
		s.memory.Add(context.Background(), int64(n), metric.WithAttributes(attribute.String("service", service), attribute.String("outcome", outcome)))
	}
}

// RecordInvalid records an ignored value of a source: the configuration, an entry, an answer, a digest or a report.
func (s *Set) RecordInvalid(source string) {
	s.invalid.Add(context.Background(), 1, metric.WithAttributes(attribute.String("source", source)))
}

// RecordRefusal records a request or connection that was refused in order to bound memory or connections.
func (s *Set) RecordRefusal(reason string) {
	s.refusals.Add(context.Background(), 1, metric.WithAttributes(attribute.String("reason", reason)))
}

// RegisterGauge registers a gauge whose value is read at each scrape.
func (s *Set) RegisterGauge(name, unit, description string, read func() int64) error {
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
