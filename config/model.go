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

// Meta is what every object has.
type Meta struct {
	// Name identifies the object within its kind.
	Name string `json:"name"`
	// Labels are what selectors look at.
	Labels label.Set `json:"labels,omitempty"`
}

// Team is a tenant: its callers and trainers show its keys.
type Team struct {
	Meta
	// Weight is the team's share when teams compete. Zero means 1.
	Weight float64 `json:"weight,omitempty"`
	// MaxInFlight bounds the team's requests in flight over all instances.
	// Zero means no bound.
	MaxInFlight int `json:"max_in_flight,omitempty"`
}

// Key is a credential of a team, stored as a digest only.
type Key struct {
	Meta
	Team string `json:"team"`
	// Digest is the hexadecimal SHA-256 of the key.
	Digest string `json:"digest"`
	// Withdrawn keys are refused. A withdrawn key is never granted again.
	Withdrawn bool `json:"withdrawn,omitempty"`
}

// ServiceType tells model engines from plain services.
type ServiceType string

// The types of service.
const (
	// ServiceEngine serves token streams by the engine protocol.
	ServiceEngine ServiceType = "engine"
	// ServicePlain serves any HTTP request.
	ServicePlain ServiceType = "plain"
)

// Resume says which endpoints a stream may go on at.
type Resume string

// The ways to resume.
const (
	// ResumeNever: a stream whose endpoint is lost is aborted.
	ResumeNever Resume = ""
	// ResumeSameVersion: at endpoints with the weight version of the last
	// token.
	ResumeSameVersion Resume = "same_version"
	// ResumeAnyVersion: at any endpoint. The chunks name their versions.
	ResumeAnyVersion Resume = "any_version"
)

// Service is something that callers ask for by name.
type Service struct {
	Meta
	Type ServiceType `json:"type"`
	// Endpoints selects the endpoints that serve it.
	Endpoints label.Selector `json:"endpoints"`
	// Teams lists the teams that may call it. Empty means every team.
	Teams []string `json:"teams,omitempty"`
	// Open services need no key.
	Open bool `json:"open,omitempty"`
	// Idempotent services may be called again when an attempt may have run.
	Idempotent bool `json:"idempotent,omitempty"`
	// Deduplicate remembers the IDs that callers give their requests in the
	// header Idempotency-Key, over all instances, so that a request which is
	// sent again does not run again.
	Deduplicate bool `json:"deduplicate,omitempty"`
	// Resume lets the token streams of a model engine go on at another endpoint
	// when theirs is lost or leaves, with the tokens so far and the same seed.
	Resume Resume `json:"resume,omitempty"`
	// PrefixAffinity, if positive, sends token requests to an endpoint that is
	// believed to have the beginning of their prompt cached. It is the part of
	// an endpoint's capacity by which it may be busier than the others and
	// still be preferred: 0.25 is a quarter. Zero means no affinity.
	PrefixAffinity float64 `json:"prefix_affinity,omitempty"`
	// FirstByteTimeout bounds the wait for the first byte of an answer, and
	// IdleTimeout the wait between two parts of it. Zero means the daemon's
	// default.
	FirstByteTimeout Duration `json:"first_byte_timeout,omitempty"`
	IdleTimeout      Duration `json:"idle_timeout,omitempty"`
	// Pools are the endpoints that the system itself orders for the service.
	Pools []Pool `json:"pools,omitempty"`
}

// RouteKind says what a route's requests are and what may be repeated.
type RouteKind string

// The kinds of route.
const (
	// RouteIdempotent requests may run more than once.
	RouteIdempotent RouteKind = "idempotent"
	// RouteOnce requests may run at most once.
	RouteOnce RouteKind = "once"
	// RouteStream requests are answered by a stream of events.
	RouteStream RouteKind = "stream"
	// RouteRollout takes rollout steps.
	RouteRollout RouteKind = "rollout"
)

// Route sends the requests of a host and path to services.
type Route struct {
	Name string    `json:"name"`
	Host string    `json:"host"`
	Path string    `json:"path"`
	Kind RouteKind `json:"kind"`
	// Targets are the services; a request goes to one of them by weight.
	Targets []RouteTarget `json:"targets"`
	// Open routes need no key.
	Open bool `json:"open,omitempty"`
	// Resumable streams may go on at another endpoint.
	Resumable bool `json:"resumable,omitempty"`
	// Priority ranks the route; 0 is served first.
	Priority int `json:"priority,omitempty"`
	// MaxAttempts bounds the endpoints that one request, or one sample's
	// failures, may reach. Zero means the default.
	MaxAttempts int `json:"max_attempts,omitempty"`
	// Timeout bounds a request; zero means no bound of the route's own.
	Timeout Duration `json:"timeout,omitempty"`
	// Objective is the latency within which an answer is worth most.
	Objective Duration `json:"objective,omitempty"`
	// StepTime is when the results of a step are due after it was submitted.
	StepTime Duration `json:"step_time,omitempty"`
	// SampleTime is when a sample of a step may be given up.
	SampleTime Duration `json:"sample_time,omitempty"`
	// SingleVersion samples must be generated under one weight version.
	SingleVersion bool `json:"single_version,omitempty"`
}

// RouteTarget is a service and its share of a route's requests.
type RouteTarget struct {
	Service string `json:"service"`
	Weight  int    `json:"weight"`
}

// RequestLimits bounds what callers may send and for how long. Zero values mean
// that the daemon's settings decide alone.
type RequestLimits struct {
	HeaderBytes int      `json:"header_bytes,omitempty"`
	BodyBytes   int64    `json:"body_bytes,omitempty"`
	HeaderTime  Duration `json:"header_time,omitempty"`
	IdleTime    Duration `json:"idle_time,omitempty"`
}

// Pool bounds the endpoints of one tier and data centre that a service may
// have running.
type Pool struct {
	DataCentre string `json:"data_centre"`
	// Tier is the price class, "cheap" or "ondemand".
	Tier string `json:"tier"`
	Min  int    `json:"min"`
	Max  int    `json:"max"`
	// HourlyCost is the price of one running endpoint, in currency units an
	// hour.
	HourlyCost float64 `json:"hourly_cost,omitempty"`
	// StartTime is how long a new endpoint takes until it serves; zero is
	// unknown.
	StartTime Duration `json:"start_time,omitempty"`
}

// Endpoint is a back end at a fixed address.
type Endpoint struct {
	Meta
	DataCentre string `json:"data_centre"`
	// Addr is the IP address and port, for example "127.0.0.1:9001".
	Addr string `json:"addr"`
	// ChecksEpoch says that the endpoint refuses orders with an old fencing
	// number.
	ChecksEpoch bool `json:"checks_epoch,omitempty"`
	// Leaving endpoints get no new work.
	Leaving bool `json:"leaving,omitempty"`
}

// Member is an instance of the member list, whose majority vouches for the
// freshness of a configuration.
type Member struct {
	Meta
	DataCentre string `json:"data_centre"`
}

// Duration is a time.Duration written as text, for example "1.5s".
type Duration time.Duration

// MarshalText writes the duration in Go's notation.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText reads a duration in Go's notation.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return err
	}
	*d = Duration(v)
	return nil
}
