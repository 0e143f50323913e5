package config

import (
	"time"

	"github.com/cumincove/cumincove/label"
)

// Kind names a type of object.
type Kind string

// The kinds of object.
const (
	KindTeam     Kind = "team"
	KindKey      Kind = "key"
	KindService  Kind = "service"
	KindEndpoint Kind = "endpoint"
	KindMember   Kind = "member"
)

// Meta contains the fields that all objects have.
type Meta struct {
	// Name identifies the object within its kind.
	Name string `json:"name"`
	// Labels are matched by selectors.
	Labels label.Set `json:"labels,omitempty"`
}

// Team is a group of callers and trainers that authenticate with its keys.
type Team struct {
	Meta
	// Weight is the team's relative share when teams compete for capacity. Zero
	// means 1.
	Weight float64 `json:"weight,omitempty"`
	// MaxInFlight bounds the team's requests in flight at all instances together.
	// Zero means no bound.
	MaxInFlight int `json:"max_in_flight,omitempty"`
	// Priority replaces the priority of the routes for the team's requests; 0 is the
	// highest. Without it the priority of the route applies.
	Priority *int `json:"priority,omitempty"`
}

// Key is a credential of a team, stored as a digest only.
type Key struct {
	Meta
	Team string `json:"team"`
	// Digest is the hexadecimal SHA-256 of the key.
	Digest string `json:"digest"`
	// Withdrawn is set if the key is refused. A withdrawal is permanent.
	Withdrawn bool `json:"withdrawn,omitempty"`
}

// ServiceType distinguishes model engines from plain services.
type ServiceType string

// The types of service.
const (
	// ServiceEngine serves token streams over the engine protocol.
	ServiceEngine ServiceType = "engine"
	// ServicePlain serves any HTTP request.
	ServicePlain ServiceType = "plain"
)

// Resume specifies at which endpoints an interrupted stream may continue.
type Resume string

// The ways to resume.
const (
	// ResumeNever aborts a stream whose endpoint is lost.
	ResumeNever Resume = ""
	// ResumeSameVersion allows endpoints with the weight version of the last
	// token.
	ResumeSameVersion Resume = "same_version"
	// ResumeAnyVersion allows any endpoint. Each chunk contains its weight
	// version.
	ResumeAnyVersion Resume = "any_version"
)

// Service is a set of endpoints that callers address by one name.
type Service struct {
	Meta
	Type ServiceType `json:"type"`
	// Endpoints selects the endpoints of the service.
	Endpoints label.Selector `json:"endpoints"`
	// Teams lists the teams that may call the service. Empty means all teams.
	Teams []string `json:"teams,omitempty"`
	// Open is set if requests to the service need no key.
	Open bool `json:"open,omitempty"`
	// Idempotent is set if a request may be sent again after an attempt that
	// may have run.
	Idempotent bool `json:"idempotent,omitempty"`
	// Deduplicate enables the deduplication of requests: instances record the
	// IDs in the header Idempotency-Key and share them, so that a request that
	// is sent again does not run again.
	Deduplicate bool `json:"deduplicate,omitempty"`
	// Resume specifies whether a token stream of a model engine continues at
	// another endpoint when its endpoint is lost or leaves. The other endpoint
	// receives the tokens generated so far and the same seed.
	Resume Resume `json:"resume,omitempty"`
	// PrefixAffinity, if positive, makes token requests prefer an endpoint that
	// probably has a prefix of their prompt cached. The value is the fraction of
	// its capacity by which such an endpoint may be busier than the others and
	// still be preferred, for example 0.25. Zero means no affinity.
	PrefixAffinity float64 `json:"prefix_affinity,omitempty"`
	// FirstByteTimeout bounds the wait for the first byte of an answer, and
	// IdleTimeout the wait between two parts of it. Zero means the default in
	// the daemon's settings.
	FirstByteTimeout Duration `json:"first_byte_timeout,omitempty"`
	IdleTimeout      Duration `json:"idle_timeout,omitempty"`
	// ColdPerSecond is the number of requests per second that a cold endpoint of the
	// service tolerates from all instances together, and ColdStart how long an
	// endpoint is cold after its start. Zero means that no endpoint is ever cold.
	ColdPerSecond float64  `json:"-"`
	ColdStart     Duration `json:"-"`
	// Pools bounds the numbers of endpoints that the system orders for the
	// service.
	Pools []Pool `json:"pools,omitempty"`
}

// RouteKind specifies the type of a route's requests and whether they may be
// repeated.
type RouteKind string

// The kinds of route.
const (
	// RouteIdempotent is for requests that may run more than once.
	RouteIdempotent RouteKind = "idempotent"
	// RouteOnce is for requests that may run at most once.
	RouteOnce RouteKind = "once"
	// RouteStream is for requests that are answered by a stream of events.
	RouteStream RouteKind = "stream"
	// RouteRollout is for rollout steps.
	RouteRollout RouteKind = "rollout"
)

// Route assigns the requests of a host and path prefix to services.
type Route struct {
	Name string    `json:"name"`
	Host string    `json:"host"`
	Path string    `json:"path"`
	Kind RouteKind `json:"kind"`
	// Targets are the services. Each request is sent to one of them, chosen
	// randomly by weight.
	Targets []RouteTarget `json:"targets"`
	// Open is set if requests need no key.
	Open bool `json:"open,omitempty"`
	// Resumable is set if an interrupted stream may continue at another
	// endpoint.
	Resumable bool `json:"resumable,omitempty"`
	// Priority ranks the routes; 0 is the highest priority.
	Priority int `json:"priority,omitempty"`
	// MaxAttempts bounds the attempts of one request, including the first one,
	// and the failures of one sample. Zero means the default.
	MaxAttempts int `json:"max_attempts,omitempty"`
	// Timeout bounds the duration of a request. Zero means that the route sets
	// no bound.
	Timeout Duration `json:"timeout,omitempty"`
	// LatencyObjective is the latency within which an answer has the highest
	// value.
	LatencyObjective Duration `json:"objective,omitempty"`
	// StepDueAfter is the time from the submission of a step until its results
	// are due.
	StepDueAfter Duration `json:"step_time,omitempty"`
	// SampleTimeout is the time after which a sample of a step may be abandoned.
	SampleTimeout Duration `json:"sample_time,omitempty"`
	// SingleVersion is set if each sample must be generated entirely under one
	// weight version.
	SingleVersion bool `json:"single_version,omitempty"`
}

// RouteTarget is a service and its relative share of a route's requests.
type RouteTarget struct {
	Service string `json:"service"`
	Weight  int    `json:"weight"`
}

// RequestLimits bounds the size of requests and the time to receive them. For
// zero values only the bounds in the daemon's settings apply.
type RequestLimits struct {
	HeaderBytes   int      `json:"header_bytes,omitempty"`
	BodyBytes     int64    `json:"body_bytes,omitempty"`
	HeaderTimeout Duration `json:"header_time,omitempty"`
	IdleTimeout   Duration `json:"idle_time,omitempty"`
}

// Pool bounds the endpoints of one tier and data centre that a service may
// have running.
type Pool struct {
	DataCentre string `json:"data_centre"`
	// Tier is the price class, "cheap" or "ondemand".
	Tier string `json:"tier"`
	Min  int    `json:"min"`
	Max  int    `json:"max"`
	// HourlyCost is the price of one running endpoint, in currency units per
	// hour.
	HourlyCost float64 `json:"hourly_cost,omitempty"`
	// StartupDuration is the duration from the order of a new endpoint until it
	// serves requests. Zero means unknown.
	StartupDuration Duration `json:"start_time,omitempty"`
}

// Endpoint is a process at a fixed address that serves requests.
type Endpoint struct {
	Meta
	DataCentre string `json:"data_centre"`
	// Addr is the IP address and port, for example "127.0.0.1:9001".
	Addr string `json:"addr"`
	// ChecksEpoch is set if the endpoint refuses orders with an old epoch.
	ChecksEpoch bool `json:"checks_epoch,omitempty"`
	// Leaving is set if the endpoint receives no new requests.
	Leaving bool `json:"leaving,omitempty"`
}

// Member is an instance in the member list. A majority of the members must
// confirm that a configuration is fresh.
type Member struct {
	Meta
	DataCentre string `json:"data_centre"`
}

// Duration is a time.Duration written as text, for example "1.5s".
type Duration time.Duration

// MarshalText encodes the duration in Go's notation.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText decodes a duration in Go's notation.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return err
	}
	*d = Duration(v)
	return nil
}
